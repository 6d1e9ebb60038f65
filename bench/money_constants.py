"""Effect of each constant of the money policy on its figures, one change at a time."""

from bench import (
    figures,
    money,
    money_policies as policies,
    money_scenarios as scenarios,
)

CHANGES = (
    {},
    {"near_horizon": 120.0},
    {"near_horizon": 300.0},
    {"near_horizon": 1800.0},
    {"far_horizon": 600.0},
    {"far_horizon": 2400.0},
    {"far_horizon": 7200.0},
    {"far_horizon": 7200.0, "share": 0.5},
    {"share": 0.0625},
    {"share": 0.125},
    {"share": 0.5},
    {"window": 60.0},
    {"window": 600.0},
    {"returns": False},
    {"recall": False},
    {"refill": False},
    {"scarce": 0.0},
    {"relay": False},
)


def run() -> None:
    """Print, for each change, the figures of the scenarios that it affects."""
    for deployment in (scenarios.KIVULI, scenarios.HINOKUNI):
        seed = money.SEED
        simulated = [
            scenarios.running_out(deployment, seed),
            scenarios.cut(deployment, seed, seconds=600.0, name="cut_10min"),
            scenarios.cut(deployment, seed, seconds=2 * scenarios.HOUR, name="cut_2h"),
            scenarios.store_down(deployment, seed),
            scenarios.crashing(deployment, seed),
        ]
        for change in CHANGES:
            _show(deployment, simulated, change)


def _show(
    deployment: scenarios.Deployment, simulated: list[scenarios.Scenario], change: dict
) -> None:
    build = money.builders(policies.Constants(**change))["by_demand"]
    fields = {}
    for scenario in simulated:
        result = money.measure(deployment, scenario, build)
        fields[f"{scenario.name}_false"] = result.false_refusals
        fields[f"{scenario.name}_commits"] = result.commits_per_request
        fields[f"{scenario.name}_idle"] = result.idle
    label = ",".join(f"{k}:{v:g}" for k, v in change.items()) or "none"
    figures.show("money_change", deployment=deployment.name, change=label, **fields)
