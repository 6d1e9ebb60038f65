"""Overspend, false refusals, idle tokens and commits of the policy and two baselines.

A false refusal refuses a request that the budget covers. `money_world` explains the
figures.
"""

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

DEFAULTS = policies.Constants()


def measure(
    deployment: scenarios.Deployment,
    scenario: scenarios.Scenario,
    build: abc.Callable[[worlds.World], worlds.Policy],
) -> worlds.Figures:
    """Simulate a scenario under the policy that `build` returns."""
    places = deployment.places
    world = worlds.World(places=places, store_region=deployment.store_region)
    return worlds.simulate(
        world=world,
        policy=build(world),
        calls=scenario.calls,
        faults=scenario.faults,
        until=scenario.until,
    )


def builders(constants: policies.Constants) -> dict[str, abc.Callable]:
    """Return the functions that build each policy, by its name."""
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
    result: worlds.Figures,
) -> None:
    """Print the figures of one run."""
    cost = deployment.overspend_weight * result.overspend / 1000
    cost += deployment.refusal_weight * result.false_refusals
    figures.show(
        f"money_{scenario.name}",
        deployment=deployment.name,
        policy=policy,
        seed=SEED,
        requests=result.requests,
        overspend_tokens=result.overspend,
        false_refusals=result.false_refusals,
        false_in_fault=result.false_in_fault,
        true_refusals=result.true_refusals,
        idle_tokens=result.idle,
        stranded_tokens=result.stranded,
        draw_commits=result.draws,
        commits_per_request=result.commits_per_request,
        peer_messages=result.messages,
        weighted_cost=cost,
    )


def run() -> None:
    """Print all figures of this area."""
    for deployment in (scenarios.KIVULI, scenarios.HINOKUNI):
        for scenario in scenarios.all_of(deployment, SEED):
            for name, build in builders(DEFAULTS).items():
                show(deployment, scenario, name, measure(deployment, scenario, build))
            if scenario.name.startswith("cut"):
                unavoidable = scenarios.floor_of_cut(deployment, scenario)
                figures.show(
                    f"money_{scenario.name}_floor",
                    deployment=deployment.name,
                    false_refusals_estimated=unavoidable,
                )
    points = []
    for factor in (0.25, 0.5, 1.0, 2.0):
        rate = BUSY_HOSTS * HOST_RATE * factor
        deployment, scenario = scenarios.busy(rate=rate, seed=SEED)
        for name, build in builders(DEFAULTS).items():
            result = measure(deployment, scenario, build)
            if factor == 1.0:
                show(deployment, scenario, name, result)
            if name == "by_demand":
                commits = (result.draws + result.bill_commits) / scenario.until
                points.append((rate / BUSY_HOSTS, commits / BUSY_HOSTS))
    figures.show_slope("money_host_commits_per_s", points, x="requests_per_s_of_a_host")
