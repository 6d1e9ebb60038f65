"""A fleet whose requests run at endpoints that crash, in steps of simulated time.

Some requests hold a deadly part, which ends each endpoint that begins to answer them.
Endpoints also end for other reasons, several at once.
"""

import dataclasses
import random

from dogwoodchute.coordination import quarantine

STEP = 0.05  # seconds
WARM_UP = 5.0  # seconds without deadly requests
REPORT_LAG = 0.3  # seconds until other hosts know what one has seen
DOWN_TIME = 3.0  # seconds until an endpoint that ended is back
BEGUN_TIME = 0.1  # seconds from an answer's head to its first event
MAX_SENDS = 2  # of one request
SHARED_PARTS = 60  # chosen with falling frequency, the first one often
DEADLY = "deadly"


@dataclasses.dataclass
class Request:
    """A request and its present try."""

    parts: tuple[str, ...]
    host: int
    sends: int = 0
    begins_at: float = 0.0  # its answer's head
    ends_at: float = 0.0

    @property
    def is_deadly(self):
        return DEADLY in self.parts


class Endpoint:
    def __init__(self, name):
        self.name = name
        self.runs = 0
        self.down_until = 0.0
        self.requests = []


class Simulation:
    """Plays requests against endpoints, and records what was sent and refused."""

    def __init__(
        self,
        seed,
        *,
        hosts=9,
        endpoints=9,
        rate=40.0,
        hot=0.0,
        deadly=0.0,
        failures=(),
    ):
        self.rng = random.Random(seed)
        self.now = 0.0
        self.rate = rate  # requests a second
        self.hot = hot  # share of requests on one prompt
        self.deadly = deadly  # share of requests
        self.failures = list(failures)  # times at which half of the endpoints end
        self.quarantines = [quarantine.Quarantine() for _ in range(hosts)]
        self.endpoints = [Endpoint(f"e{number}") for number in range(endpoints)]
        self.news = []  # time, host to learn it, and the call
        self.deadly_crashes = []  # times
        self.deadly_sends = []  # times
        self.sound = 0  # requests
        self.refused = 0  # sound requests
        self.quarantined = set()  # parts, on any host at any time

    def run(self, seconds):
        while self.now < seconds:
            self.now += STEP
            self.learn()
            self.arrive()
            while self.failures and self.failures[0] <= self.now:
                self.failures.pop(0)
                half = self.rng.sample(self.endpoints, len(self.endpoints) // 2)
                for endpoint in half:
                    self.end(endpoint)
            for endpoint in self.endpoints:
                self.progress(endpoint)
        return self

    def arrive(self):
        for _ in range(int(self.rate * STEP + self.rng.random())):
            rank = int(SHARED_PARTS * self.rng.random() ** 3)
            parts = (f"shared{rank}", f"detail{rank}-{self.rng.randrange(3)}")
            if self.rng.random() < self.hot:
                parts = ("hot", "hot-detail")
            if self.now > WARM_UP and self.rng.random() < self.deadly:
                parts = (parts[0], DEADLY)
            request = Request(parts, self.rng.randrange(len(self.quarantines)))
            self.sound += not request.is_deadly
            self.send(request)

    def send(self, request):
        if self.quarantines[request.host].find(request.parts, self.now):
            self.refused += not request.is_deadly
            return
        up = [e for e in self.endpoints if e.down_until <= self.now]
        if not up or request.sends >= MAX_SENDS:
            return
        endpoint = min(up, key=lambda e: (len(e.requests), self.rng.random()))
        request.sends += 1
        request.begins_at = self.now + self.rng.uniform(0.1, 0.6)
        request.ends_at = request.begins_at + self.rng.uniform(0.3, 2.0)
        endpoint.requests.append(request)
        if request.is_deadly:
            self.deadly_sends.append(self.now)

    def progress(self, endpoint):
        """End requests that are complete, or the endpoint under a deadly one."""
        for request in list(endpoint.requests):
            if request.is_deadly and self.stop(endpoint, request):
                continue
            if request.is_deadly and request.begins_at <= self.now:
                self.deadly_crashes.append(self.now)
                self.end(endpoint)
                return
            if request.ends_at <= self.now:
                endpoint.requests.remove(request)
                for part in request.parts:
                    self.tell(request.host, "record_completion", part, self.now)

    def stop(self, endpoint, request):
        """Stop a request that waits once its part is quarantined."""
        known = self.quarantines[request.host].find(request.parts, self.now)
        if known and request.begins_at > self.now:
            endpoint.requests.remove(request)
            return True
        return False

    def end(self, endpoint):
        lost, endpoint.requests = endpoint.requests, []
        endpoint.runs += 1
        endpoint.down_until = self.now + DOWN_TIME
        run = quarantine.Run(endpoint.name, endpoint.runs)
        for request in lost:
            if 0 <= self.now - request.begins_at < BEGUN_TIME:
                crash = quarantine.Crash(run, request.parts)
                self.tell(request.host, "record_crash", crash, self.now)
        for request in lost:
            self.send(request)

    def tell(self, seen_by, method, *arguments):
        """Let a host record something now, and the others some time later."""
        for host in range(len(self.quarantines)):
            lag = 0.0 if host == seen_by else self.rng.uniform(0.05, REPORT_LAG)
            self.news.append((self.now + lag, host, method, arguments))
        self.learn()

    def learn(self):
        due = [each for each in self.news if each[0] <= self.now]
        self.news = [each for each in self.news if each[0] > self.now]
        for _, host, method, arguments in due:
            known = self.quarantines[host]
            if method == "record_crash":
                arguments = (*arguments, self.now)
            getattr(known, method)(*arguments)
            self.quarantined.update(known.quarantined(self.now))
