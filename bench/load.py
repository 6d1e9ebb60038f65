"""Endpoint choice, limits, queues, ejection and retries under load and faults."""

import math

import numpy as np

from bench import figures, load_engine, load_model

WARM_UP = 10.0  # seconds left out
LOADS = (0.5, 0.9, 1.0, 1.2, 3.0)  # of the capacity
POLICIES = ("full", "round_robin", "least_load", "no_limit")
CAUSE = (20.0, 30.0)  # seconds in which a fault lasts
CALM_SEEDS = 5
BUCKET = 1.0  # seconds
RECOVERED = 0.9  # share of a bucket's requests that were served in time


def run() -> None:
    """Print the figures."""
    figures.show("capacity", requests_per_second=load_engine.capacity(9))
    for load in LOADS:
        for policy in POLICIES:
            show_steady(load_model.Setup(load=load, policy=policy))
        show_steady(load_model.Setup(load=load, account_routers=8), name="all_hosts")
    for policy in ("full", "no_retry_budget", "no_limit", "round_robin"):
        show_storm(policy)
    for policy in ("full", "round_robin", "least_load"):
        show_slow(policy)
    show_down()
    show_leaving()
    show_calm()
    show_regions()


def percentile(values: list[float], share: float) -> float:
    """Return a percentile, NaN of nothing."""
    return float(np.percentile(values, share)) if values else math.nan


def steady(setup: load_model.Setup) -> dict[str, float]:
    """Return the figures of one run, without its warm-up."""
    model = load_model.Model(setup).run()
    asked = [r for r in model.requests if r.arrived >= WARM_UP]
    answered = [r for r in asked if r.ended is not None]
    first = [r.first_token - r.tried_at for r in answered]
    gaps = [r.gap for r in answered]
    return {
        "goodput": sum(r.good for r in asked) / (setup.seconds - WARM_UP),
        "good_share": sum(r.good for r in asked) / len(asked),
        "first_token_p50": percentile(first, 50),
        "first_token_p95": percentile(first, 95),
        "token_gap_p50": percentile(gaps, 50),
        "token_gap_p95": percentile(gaps, 95),
        "refused_share": 1 - len(answered) / len(asked),
        "prefix_hits": sum(r.hit for r in answered) / max(1, len(answered)),
        "ejections": ejections(model),
    }


def ejections(model: load_model.Model) -> int:
    """Return how often any router ejected an endpoint."""
    ejectors = [getattr(r.admission, "ejector", None) for r in model.routers]
    return sum(ejector.ejections for ejector in ejectors if ejector is not None)


def show_steady(setup: load_model.Setup, name: str = "") -> None:
    """Print one steady load."""
    policy = name or setup.policy
    figures.show("steady", load=setup.load, policy=policy, **steady(setup))


def with_fault(
    setup: load_model.Setup, names: list[str], kind: str, value: object
) -> load_model.Model:
    """Run with a fault of some engines during `CAUSE`; the rest is calm."""
    model = load_model.Model(setup)

    def set_fault(current: object) -> None:
        for name in names:
            engine = model.engines[name]
            if kind == "slow":
                engine.set_slow(current)
            else:
                setattr(engine, kind, current)

    calm = 1.0 if kind == "slow" else False
    model.clock.at(CAUSE[0], set_fault, value)
    model.clock.at(CAUSE[1], set_fault, calm)
    return model.run()


def seconds_to_recover(model: load_model.Model) -> float:
    """Return the seconds from the cause's end to the last bad bucket's end.

    A bucket is bad if fewer than `RECOVERED` of the requests that first arrived in it
    got a good answer.
    """
    last = CAUSE[1]
    buckets: dict[int, list[bool]] = {}
    for request in model.requests:
        buckets.setdefault(int(request.arrived // BUCKET), []).append(request.good)
    for bucket, good in buckets.items():
        end = (bucket + 1) * BUCKET
        if end > CAUSE[1] and sum(good) < RECOVERED * len(good):
            last = max(last, end)
    return last - CAUSE[1]


def storm(policy: str, seed: int = 1) -> dict[str, float]:
    """Return the figures of callers that repeat ten times, at once, on a fault.

    `peak_tries` is the busiest second's tries over the usual first tries of a second.
    The cause is that six of nine engines take no connections for ten seconds.
    """
    setup = load_model.Setup(
        load=0.8, policy=policy, tries=10, polite=False, patience=2.0, seed=seed
    )
    names = [f"engine-{number}" for number in range(6)]
    model = with_fault(setup, names, "down", True)
    during = [r for r in model.requests if CAUSE[0] <= r.arrived < CAUSE[1]]
    after = [r for r in model.requests if CAUSE[1] <= r.arrived]
    return {
        "recovery_seconds": seconds_to_recover(model),
        "good_share_during": sum(r.good for r in during) / len(during),
        "good_share_after": sum(r.good for r in after) / len(after),
        "peak_tries": max(model.tries_at.values())
        * setup.seconds
        / len(model.requests),
        "tries_per_request": model.tries / len(model.requests),
        "router_retries": model.retries / model.tries,
    }


def show_storm(policy: str) -> None:
    """Print a retry storm."""
    figures.show("storm", policy=policy, **storm(policy))


def down(count: int, policy: str = "full", seed: int = 1) -> float:
    """Return the share of good answers while engines take no connections."""
    names = [f"engine-{number}" for number in range(count)]
    setup = load_model.Setup(load=0.4, policy=policy, seed=seed)
    model = with_fault(setup, names, "down", True)
    during = [r for r in model.requests if CAUSE[0] <= r.arrived < CAUSE[1]]
    return sum(r.good for r in during) / len(during)


def show_down() -> None:
    """Print the good answers while engines take no connections."""
    for policy in ("full", "round_robin"):
        for count in (1, 3):
            shares = [down(count, policy, seed) for seed in range(1, 4)]
            figures.show(
                "down_engines",
                policy=policy,
                count=count,
                good_share=sum(shares) / len(shares),
            )


def slow(policy: str, seed: int = 1) -> dict[str, float]:
    """Return the figures of one engine that slows down tenfold."""
    setup = load_model.Setup(load=0.7, policy=policy, seed=seed)
    model = with_fault(setup, ["engine-4"], "slow", 10.0)
    slowed = model.engines["engine-4"].received
    usual = sum(CAUSE[0] - 10 <= at < CAUSE[0] for at in slowed)
    late = sum(CAUSE[1] - 5 <= at < CAUSE[1] for at in slowed)
    during = [r for r in model.requests if CAUSE[0] <= r.arrived < CAUSE[1]]
    return {
        "good_share_during": sum(r.good for r in during) / len(during),
        "share_of_usual_load": late / max(1, usual) * 2,
        "seconds_to_shed": seconds_to_shed(slowed, usual),
        "recovery_seconds": seconds_to_recover(model),
    }


def seconds_to_shed(received: list[float], usual: int) -> float:
    """Return the seconds until an engine gets less than a tenth of its usual load."""
    for second in range(int(CAUSE[1] - CAUSE[0])):
        begin = CAUSE[0] + second
        later = sum(begin <= at < CAUSE[1] for at in received)
        if later <= 0.1 * usual / 10 * (CAUSE[1] - begin):
            return float(second)
    return math.inf


def show_slow(policy: str) -> None:
    """Print an engine that slows down tenfold."""
    figures.show("slow_engine", policy=policy, **slow(policy))


def leaving(seed: int = 1) -> float:
    """Return the seconds after an engine's own word until it gets nothing new."""
    setup = load_model.Setup(load=0.9, seconds=40.0, seed=seed)
    model = with_fault(setup, ["engine-2"], "leaving", True)
    received = [at for at in model.engines["engine-2"].received if at > CAUSE[0]]
    return max(received, default=CAUSE[0]) - CAUSE[0]


def show_leaving() -> None:
    """Print how long a leaving engine still gets work."""
    figures.show("leaving", seconds=max(leaving(seed) for seed in range(1, 4)))


def show_calm() -> None:
    """Print how often a healthy engine was ejected."""
    for load in (0.5, 0.9):
        count = 0
        for seed in range(1, CALM_SEEDS + 1):
            setup = load_model.Setup(load=load, seed=seed)
            count += ejections(load_model.Model(setup).run())
        figures.show(
            "calm", load=load, false_ejections=count, minutes=float(CALM_SEEDS)
        )


def regions(load: float, seed: int = 1, **fields: object) -> dict[str, float]:
    """Return the figures of two regions of which one has three quarters of the work.

    Each has nine engines. `load` is of both regions' capacity together.
    """
    setup = load_model.Setup(
        load=load, engines=18, far_engines=9, near_share=0.75, seed=seed, **fields
    )
    model = load_model.Model(setup).run()
    asked = [r for r in model.requests if r.arrived >= WARM_UP]
    return {
        "good_share": sum(r.good for r in asked) / len(asked),
        "crossed_share": sum(r.crossed for r in asked) / len(asked),
        "link_bytes_per_second": model.crossed_bytes / setup.seconds,
    }


def show_regions() -> None:
    """Print when work goes to another region, by the rule that decides it."""
    rules = {
        "by_cost_bounded": {"link_seconds": 0.165, "far_limit": 21},
        "by_cost": {"link_seconds": 0.165},
        "at_once_bounded": {"link_seconds": 0.0, "far_limit": 21},
        "at_once": {"link_seconds": 0.0},
        "never": {"policy": "no_spill"},
        "no_preference": {"policy": "one_region"},
    }
    for load in (0.6, 0.8, 1.0):
        for name, fields in rules.items():
            runs = [regions(load, seed, **fields) for seed in (1, 2)]
            means = {key: sum(run[key] for run in runs) / len(runs) for key in runs[0]}
            figures.show("regions", load=load, rule=name, **means)
