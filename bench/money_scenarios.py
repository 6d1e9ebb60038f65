"""The scenarios in which the money policies are compared, for two deployments."""

import math
import random
import typing

from bench import money_world as worlds

HOUR = 3600.0  # seconds
SECONDS_PER_TOKEN = 0.026
RESTART_SECONDS = 20.0  # until a stopped or crashed host runs again


class Deployment(typing.NamedTuple):
    """A user's hosts and client accounts, and how much each kind of error costs it."""

    name: str
    places: list[worlds.Place]
    store_region: str
    rates: dict[str, float]  # requests a second by client account
    overspend_weight: float  # for each thousand tokens
    refusal_weight: float  # for each false refusal


class Scenario(typing.NamedTuple):
    """Requests and faults, and how long they are simulated."""

    name: str
    calls: list[worlds.Call]
    faults: list[worlds.Fault]
    until: float  # seconds


def _places(*regions: tuple[str, int]) -> list[worlds.Place]:
    return [
        worlds.Place(f"{region}-{number + 1}", region)
        for region, count in regions
        for number in range(count)
    ]


def _rates(large: int, small: int) -> dict[str, float]:
    rates = {f"large-{n}": 0.8 for n in range(large)}
    return rates | {f"small-{n}": 0.04 for n in range(small)}


KIVULI = Deployment(
    "kivuli", _places(("dar", 5), ("arusha", 3)), "dar", _rates(3, 7), 10.0, 1.0
)
HINOKUNI = Deployment(
    "hinokuni",
    _places(("kumamoto", 4), ("fukuoka", 3)),
    "kumamoto",
    _rates(4, 6),
    1.0,
    10.0,
)


def requests(
    deployment: Deployment, *, seconds: float, seed: int, day: bool = False
) -> list[worlds.Call]:
    """Return the requests of `seconds`, by a Poisson process for each account.

    An account's callers use the two hosts in each region that rank first for it. Six in
    ten requests come from its home region, the others from any region. With `day`, the
    rate varies over a day.
    """
    rng = random.Random(seed)
    regions = sorted({place.region for place in deployment.places})
    calls = []
    for number, (account, rate) in enumerate(deployment.rates.items()):
        ranked = {r: _ranked(deployment, account, r) for r in regions}
        home = regions[number % len(regions)]
        at = 0.0
        while True:
            factor = (
                1.0 + 0.8 * math.sin(2 * math.pi * at / (24 * HOUR)) if day else 1.0
            )
            at += rng.expovariate(rate * factor)
            if at >= seconds:
                break
            region = home if rng.random() < 0.6 else rng.choice(regions)
            hosts = ranked[region]
            if rng.random() < 0.4:
                hosts = (hosts[1], hosts[0], *hosts[2:])
            others = tuple(h for r in regions if r != region for h in ranked[r])
            calls.append(_call(rng, at, account, hosts + others))
    return calls


def _ranked(deployment: Deployment, account: str, region: str) -> tuple[str, ...]:
    names = [place.name for place in deployment.places if place.region == region]
    rng = random.Random(f"{account} {region}")
    rng.shuffle(names)
    return tuple(names)


def _call(
    rng: random.Random, at: float, account: str, hosts: tuple[str, ...]
) -> worlds.Call:
    prompt = rng.randint(100, 1500)
    limit = rng.choice((256, 512, 1024))
    produced = rng.randint(limit // 8, limit)
    return worlds.Call(
        at,
        account,
        hosts,
        reserved=prompt + limit,
        used=prompt // 3 + produced,
        seconds=produced * SECONDS_PER_TOKEN,
    )


def use(calls: list[worlds.Call], until: float = math.inf) -> dict[str, int]:
    """Return the tokens that each account uses before `until`."""
    used: dict[str, int] = {}
    for call in calls:
        if call.at < until:
            used[call.account] = used.get(call.account, 0) + call.used
    return used


def payments(
    calls: list[worlds.Call], at: float, factor: float, until: float = math.inf
) -> list[worlds.Fault]:
    """Return payments at a time of `factor` times the use before `until`."""
    used = use(calls, until)
    return [worlds.Fault(at, "pay", a, int(t * factor)) for a, t in used.items()]


def calm(deployment: Deployment, seed: int) -> Scenario:
    """Return a day without faults; budgets are one and a half times the use."""
    calls = requests(deployment, seconds=24 * HOUR, seed=seed, day=True)
    return Scenario("calm_day", calls, payments(calls, 0, 1.5), 24 * HOUR)


def running_out(deployment: Deployment, seed: int) -> Scenario:
    """Return two hours without faults; budgets cover six tenths of the use."""
    calls = requests(deployment, seconds=2 * HOUR, seed=seed)
    return Scenario("running_out", calls, payments(calls, 0, 0.6), 2 * HOUR)


def cut(deployment: Deployment, seed: int, *, seconds: float, name: str) -> Scenario:
    """Return a network cut between the regions after an hour, with a top-up halfway.

    The budgets cover the use until three quarters of the cut have passed.
    """
    cut_at = HOUR
    calls = requests(deployment, seconds=cut_at + seconds + HOUR, seed=seed)
    faults = payments(calls, 0, 1.0, until=cut_at + 0.75 * seconds)
    faults += [worlds.Fault(cut_at, "cut"), worlds.Fault(cut_at + seconds, "heal")]
    faults += payments(calls, cut_at + seconds / 2, 1.0)
    return Scenario(name, calls, faults, cut_at + seconds + HOUR)


def floor_of_cut(deployment: Deployment, scenario: Scenario) -> int:
    """Estimate the false refusals of a cut that no policy can avoid.

    The store's side until the top-up, and the other side until the cut is healed, can
    only use what was left when the cut began.
    """
    times = {fault.kind: fault.at for fault in scenario.faults if not fault.target}
    region_of = {place.name: place.region for place in deployment.places}
    refused = 0.0
    for account in deployment.rates:
        pays = [f for f in scenario.faults if f.target == account]
        calls = [call for call in scenario.calls if call.account == account]
        left = pays[0].tokens - sum(c.used for c in calls if c.at < times["cut"])
        needed = 0
        for call in calls:
            is_near = region_of[call.hosts[0]] == deployment.store_region
            end = pays[1].at if is_near else times["heal"]
            if times["cut"] <= call.at < end:
                needed += call.used
        mean = sum(call.used for call in calls) / len(calls)
        refused += max(0, needed - left) / mean
    return round(refused)


def store_down(deployment: Deployment, seed: int) -> Scenario:
    """Return two hours with the store unavailable for ten minutes after an hour."""
    calls = requests(deployment, seconds=2 * HOUR, seed=seed)
    faults = payments(calls, 0, 1.5)
    faults += [worlds.Fault(HOUR, "store_down"), worlds.Fault(HOUR + 600, "store_up")]
    return Scenario("store_down_10min", calls, faults, 2 * HOUR)


def rolling(deployment: Deployment, seed: int) -> Scenario:
    """Return an hour in which hosts restart gracefully in turn, one each minute."""
    return _restarting(deployment, seed, name="rolling_restarts", kind="stop")


def crashing(deployment: Deployment, seed: int) -> Scenario:
    """Return an hour in which a random host crashes each minute."""
    return _restarting(deployment, seed, name="crash_each_minute", kind="crash")


def _restarting(deployment: Deployment, seed: int, *, name: str, kind: str) -> Scenario:
    rng = random.Random(seed)
    calls = requests(deployment, seconds=HOUR, seed=seed)
    faults = payments(calls, 0, 1.5)
    for minute in range(1, 59):
        place = deployment.places[minute % len(deployment.places)]
        if kind == "crash":
            place = rng.choice(deployment.places)
        at = minute * 60.0
        faults.append(worlds.Fault(at, kind, place.name))
        faults.append(worlds.Fault(at + RESTART_SECONDS, "start", place.name))
    return Scenario(name, calls, faults, HOUR)


def all_of(deployment: Deployment, seed: int) -> list[Scenario]:
    """Return every scenario of a deployment."""
    return [
        calm(deployment, seed),
        running_out(deployment, seed),
        cut(deployment, seed, seconds=600.0, name="cut_10min"),
        cut(deployment, seed, seconds=2 * HOUR, name="cut_2h"),
        store_down(deployment, seed),
        rolling(deployment, seed),
        crashing(deployment, seed),
    ]


def busy(*, rate: float, seed: int, seconds: float = 300.0) -> tuple:
    """Return a deployment and scenario of one busy account on four hosts."""
    places = _places(("a", 2), ("b", 2))
    deployment = Deployment("two_years", places, "a", {"busiest": rate}, 1.0, 1.0)
    calls = requests(deployment, seconds=seconds, seed=seed)
    return deployment, Scenario("busy_account", calls, payments(calls, 0, 1.5), seconds)
