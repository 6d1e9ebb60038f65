"""Overspend, false refusals, idle tokens and commits: our policy and two baselines."""

from collections import abc

from bench import (
    figures,
    money_policies as policies,
    money_scenarios as scenarios,
    money_world as worlds,
)

SEED = 11
HOST_RATE = 53.0  # requests a second of a host at the two-year size
BUSY_HOSTS = 4

OURS = policies.Constants()


def measure(
    deployment: scenarios.Deployment,
    scenario: scenarios.Scenario,
    build: abc.Callable[[worlds.World], worlds.Policy],
) -> worlds.Figures:
    """Play a scenario under the policy that `build` returns."""
    places = deployment.places
    world = worlds.World(places=places, store_region=deployment.store_region)
    return worlds.play(
        world=world,
        policy=build(world),
        calls=scenario.calls,
        faults=scenario.faults,
        until=scenario.until,
    )


def builders(constants: policies.Constants) -> dict[str, abc.Callable]:
    """Return how to build each policy, by its name."""
    return {
        "by_demand": lambda world: policies.ByDemand(
            world=world, constants=constants
        ).policy(),
        "equal_split": lambda world: policies.EqualSplit(world=world).policy(),
        "each_request": lambda world: policies.EachRequest(world=world).policy(),
    }


def show(
    deployment: scenarios.Deployment,
    scenario: scenarios.Scenario,
    policy: str,
    found: worlds.Figures,
) -> None:
    """Print the figures of one run."""
    cost = deployment.overspend_weight * found.overspend / 1000
    cost += deployment.refusal_weight * found.false_refusals
    figures.show(
        f"money_{scenario.name}",
        deployment=deployment.name,
        policy=policy,
        seed=SEED,
        requests=found.requests,
        overspend_tokens=found.overspend,
        false_refusals=found.false_refusals,
        false_in_fault=found.false_in_fault,
        true_refusals=found.true_refusals,
        idle_tokens=found.idle,
        stranded_tokens=found.stranded,
        draw_commits=found.draws,
        commits_per_request=found.commits_per_request,
        peer_messages=found.messages,
        weighted_cost=cost,
    )


def run() -> None:
    """Print all figures of money."""
    for deployment in (scenarios.KIVULI, scenarios.HINOKUNI):
        for scenario in scenarios.all_of(deployment, SEED):
            for name, build in builders(OURS).items():
                show(deployment, scenario, name, measure(deployment, scenario, build))
            if scenario.name.startswith("cut"):
                floor = scenarios.floor_of_cut(deployment, scenario)
                figures.show(
                    f"money_{scenario.name}_floor",
                    deployment=deployment.name,
                    false_refusals_estimated=floor,
                )
    points = []
    for part in (0.25, 0.5, 1.0, 2.0):
        rate = BUSY_HOSTS * HOST_RATE * part
        deployment, scenario = scenarios.busy(rate=rate, seed=SEED)
        for name, build in builders(OURS).items():
            found = measure(deployment, scenario, build)
            if part == 1.0:
                show(deployment, scenario, name, found)
            if name == "by_demand":
                commits = (found.draws + found.bill_commits) / scenario.until
                points.append((rate / BUSY_HOSTS, commits / BUSY_HOSTS))
    figures.show_slope("money_host_commits_per_s", points, x="requests_per_s_of_a_host")
