"""Endpoint choice, limits, queues, ejection and retries, under load and with faults."""

import math

import numpy as np

from bench import figures, load_engine, load_model

WARM_UP = 10.0  # seconds that are left out of the figures
LOADS = (0.5, 0.9, 1.0, 1.2, 3.0)  # of the capacity
POLICIES = ("full", "round_robin", "least_load", "no_limit")
FAULT_PERIOD = (20.0, 30.0)  # seconds of virtual time, start and end
CALM_SEEDS = 5  # runs of a minute without faults
BUCKET_SECONDS = 1.0
RECOVERED_SHARE = 0.9  # of the requests in a bucket, served in time


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
    """Return a percentile of `values`, NaN if there are none; `share` is in percent."""
    return float(np.percentile(values, share)) if values else math.nan


def steady(setup: load_model.Setup) -> dict[str, float]:
    """Return the figures of one run, without its warm-up."""
    model = load_model.Model(setup).run()
    requests = [r for r in model.requests if r.arrived_at >= WARM_UP]
    answered = [r for r in requests if r.ended_at is not None]
    first_token_seconds = [r.first_token_at - r.tried_at for r in answered]
    gaps = [r.gap for r in answered]
    return {
        "goodput": sum(r.is_good for r in requests) / (setup.seconds - WARM_UP),
        "good_share": sum(r.is_good for r in requests) / len(requests),
        "first_token_p50": percentile(first_token_seconds, 50),
        "first_token_p95": percentile(first_token_seconds, 95),
        "token_gap_p50": percentile(gaps, 50),
        "token_gap_p95": percentile(gaps, 95),
        "refused_share": 1 - len(answered) / len(requests),
        "prefix_hits": sum(r.is_prefix_hit for r in answered) / max(1, len(answered)),
        "ejections": ejections(model),
    }


def ejections(model: load_model.Model) -> int:
    """Return how often the routers ejected an endpoint, all together."""
    ejectors = [getattr(r.admission, "ejector", None) for r in model.routers]
    return sum(ejector.ejections for ejector in ejectors if ejector is not None)


def show_steady(setup: load_model.Setup, name: str = "") -> None:
    """Print the figures of one steady load."""
    policy = name or setup.policy
    figures.show("steady", load=setup.load, policy=policy, **steady(setup))


def with_fault(
    setup: load_model.Setup, names: list[str], kind: str, value: object
) -> load_model.Model:
    """Run the model with a fault of the engines `names` during `FAULT_PERIOD`."""
    model = load_model.Model(setup)

    def set_fault(current: object) -> None:
        for name in names:
            engine = model.engines[name]
            if kind == "slow":
                engine.set_slowdown(current)
            else:
                setattr(engine, kind, current)

    no_fault = 1.0 if kind == "slow" else False
    model.clock.at(FAULT_PERIOD[0], set_fault, value)
    model.clock.at(FAULT_PERIOD[1], set_fault, no_fault)
    return model.run()


def seconds_to_recover(model: load_model.Model) -> float:
    """Return the seconds from the fault's end to the end of the last bad bucket.

    A bucket is bad if fewer than `RECOVERED_SHARE` of the requests that arrived in
    it got a good answer.
    """
    recovered_at = FAULT_PERIOD[1]
    buckets: dict[int, list[bool]] = {}
    for request in model.requests:
        buckets.setdefault(int(request.arrived_at // BUCKET_SECONDS), []).append(
            request.is_good
        )
    for bucket, good in buckets.items():
        end = (bucket + 1) * BUCKET_SECONDS
        if end > FAULT_PERIOD[1] and sum(good) < RECOVERED_SHARE * len(good):
            recovered_at = max(recovered_at, end)
    return recovered_at - FAULT_PERIOD[1]


def storm(policy: str, seed: int = 1) -> dict[str, float]:
    """Return the figures of a retry storm.

    Six of nine engines accept no connections for ten seconds, and each caller tries up
    to ten times without waiting for `Retry-After`. `peak_tries` is the number of tries
    in the busiest second over the mean number of new requests in a second.
    """
    setup = load_model.Setup(
        load=0.8,
        policy=policy,
        tries=10,
        honours_retry_after=False,
        first_token_timeout=2.0,
        seed=seed,
    )
    names = [f"engine-{number}" for number in range(6)]
    model = with_fault(setup, names, "down", True)
    during = [
        r for r in model.requests if FAULT_PERIOD[0] <= r.arrived_at < FAULT_PERIOD[1]
    ]
    after = [r for r in model.requests if FAULT_PERIOD[1] <= r.arrived_at]
    return {
        "recovery_seconds": seconds_to_recover(model),
        "good_share_during": sum(r.is_good for r in during) / len(during),
        "good_share_after": sum(r.is_good for r in after) / len(after),
        "peak_tries": max(model.tries_by_second.values())
        * setup.seconds
        / len(model.requests),
        "tries_per_request": model.tries / len(model.requests),
        "router_retries": model.retries / model.tries,
    }


def show_storm(policy: str) -> None:
    """Print the figures of a retry storm."""
    figures.show("storm", policy=policy, **storm(policy))


def down(count: int, policy: str = "full", seed: int = 1) -> float:
    """Return the share of good answers while `count` engines accept no connections."""
    names = [f"engine-{number}" for number in range(count)]
    setup = load_model.Setup(load=0.4, policy=policy, seed=seed)
    model = with_fault(setup, names, "down", True)
    during = [
        r for r in model.requests if FAULT_PERIOD[0] <= r.arrived_at < FAULT_PERIOD[1]
    ]
    return sum(r.is_good for r in during) / len(during)


def show_down() -> None:
    """Print the share of good answers while engines accept no connections."""
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
    """Return the figures of a fault that makes one engine ten times slower."""
    setup = load_model.Setup(load=0.7, policy=policy, seed=seed)
    model = with_fault(setup, ["engine-4"], "slow", 10.0)
    received = model.engines["engine-4"].received_at
    usual = sum(FAULT_PERIOD[0] - 10 <= at < FAULT_PERIOD[0] for at in received)
    near_end = sum(FAULT_PERIOD[1] - 5 <= at < FAULT_PERIOD[1] for at in received)
    during = [
        r for r in model.requests if FAULT_PERIOD[0] <= r.arrived_at < FAULT_PERIOD[1]
    ]
    return {
        "good_share_during": sum(r.is_good for r in during) / len(during),
        "share_of_usual_load": near_end / max(1, usual) * 2,
        "seconds_to_shed": seconds_to_shed(received, usual),
        "recovery_seconds": seconds_to_recover(model),
    }


def seconds_to_shed(received: list[float], usual: int) -> float:
    """Return the seconds until an engine receives at most a tenth of its usual load."""
    for second in range(int(FAULT_PERIOD[1] - FAULT_PERIOD[0])):
        start = FAULT_PERIOD[0] + second
        later = sum(start <= at < FAULT_PERIOD[1] for at in received)
        if later <= 0.1 * usual / 10 * (FAULT_PERIOD[1] - start):
            return float(second)
    return math.inf


def show_slow(policy: str) -> None:
    """Print the figures of one engine that becomes ten times slower."""
    figures.show("slow_engine", policy=policy, **slow(policy))


def leaving(seed: int = 1) -> float:
    """Return the seconds from an engine's leaving signal to its last new request."""
    setup = load_model.Setup(load=0.9, seconds=40.0, seed=seed)
    model = with_fault(setup, ["engine-2"], "leaving", True)
    received = [
        at for at in model.engines["engine-2"].received_at if at > FAULT_PERIOD[0]
    ]
    return max(received, default=FAULT_PERIOD[0]) - FAULT_PERIOD[0]


def show_leaving() -> None:
    """Print how long a leaving engine still receives requests."""
    figures.show("leaving", seconds=max(leaving(seed) for seed in range(1, 4)))


def show_calm() -> None:
    """Print how often healthy engines were ejected."""
    for load in (0.5, 0.9):
        false_ejections = 0
        for seed in range(1, CALM_SEEDS + 1):
            setup = load_model.Setup(load=load, seed=seed)
            false_ejections += ejections(load_model.Model(setup).run())
        figures.show(
            "calm",
            load=load,
            false_ejections=false_ejections,
            minutes=float(CALM_SEEDS),
        )


def regions(load: float, seed: int = 1, **fields: object) -> dict[str, float]:
    """Return the figures of two regions, of which one gets three quarters of the load.

    Each has nine engines. `load` is a share of the capacity of both
    regions together.
    """
    setup = load_model.Setup(
        load=load, engines=18, far_engines=9, near_share=0.75, seed=seed, **fields
    )
    model = load_model.Model(setup).run()
    requests = [r for r in model.requests if r.arrived_at >= WARM_UP]
    return {
        "good_share": sum(r.is_good for r in requests) / len(requests),
        "crossed_share": sum(r.is_cross_region for r in requests) / len(requests),
        "link_bytes_per_second": model.cross_region_bytes / setup.seconds,
    }


def show_regions() -> None:
    """Print how much load goes to the other region, by the rule that decides."""
    rules = {
        "by_cost_bounded": {"link_seconds": 0.165, "far_limit": 21},
        "by_cost": {"link_seconds": 0.165},
        "at_once_bounded": {"link_seconds": 0.0, "far_limit": 21},
        "at_once": {"link_seconds": 0.0},
        "never": {"policy": "no_spill"},
        "no_preference": {"policy": "one_region"},
    }
    for load in (0.6, 0.8, 1.0):
        for name, setup in rules.items():
            runs = [regions(load, seed, **setup) for seed in (1, 2)]
            means = {key: sum(run[key] for run in runs) / len(runs) for key in runs[0]}
            figures.show("regions", load=load, rule=name, **means)
