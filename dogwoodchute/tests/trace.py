"""Replays traces: scripts of requests, faults and the outcomes expected of them.

A trace is a text file. Each line has a time in seconds, a verb and its arguments:

    0.0 host dar-1 dar-a            a host and its data centre, before all else
    0.0 account growers 5000        a client account and what it has paid
    1.0 ask q1 dar-1 growers key=plan-7 tokens=40
    9.0 expect q1 answered

`#` begins a comment. Times never go back. All invariants are checked after each line,
and once more at the end, when all faults have ended.
"""

import typing

from dogwoodchute import outcomes
from dogwoodchute.coordination import rows
from dogwoodchute.tests import money_fleet, money_oracle, virtual

SETUP = ("host", "account")
QUIET = 200.0  # seconds after the end of a trace
SEED = 5


class Line(typing.NamedTuple):
    """One line of a trace."""

    number: int
    at: float
    verb: str
    words: list[str]
    options: dict[str, str]


class TraceError(Exception):
    """A trace is malformed, or an outcome is not the expected one."""


def parse(text):
    """Return the lines of a trace."""
    lines = []
    last = 0.0
    for number, raw in enumerate(text.splitlines(), start=1):
        words = raw.partition("#")[0].split()
        if not words:
            continue
        try:
            at = float(words[0])
            verb = words[1]
        except (ValueError, IndexError) as error:
            raise TraceError(f"line {number}: no time and verb") from error
        if at < last:
            raise TraceError(f"line {number}: time goes back")
        last = at
        options = dict(word.split("=", 1) for word in words[2:] if "=" in word)
        plain = [word for word in words[2:] if "=" not in word]
        lines.append(Line(number, at, verb, plain, options))
    return lines


class Replay:
    """Replays one trace on virtual time; `_do_VERB` handles the lines of a verb."""

    def __init__(self, *, lines):
        self.loop = virtual.Loop()
        setup_lines = [line for line in lines if line.verb in SETUP]
        places = {x.words[0]: x.words[1] for x in setup_lines if x.verb == "host"}
        accounts = {
            x.words[0]: int(x.words[1]) for x in setup_lines if x.verb == "account"
        }
        self.lines = [line for line in lines if line.verb not in SETUP]
        self.fleet = money_fleet.Fleet(
            seed=SEED, loop=self.loop, places=places, accounts=accounts
        )
        self.attempts = {}

    def run(self):
        """Replay all lines; raise an error at the first failed check."""
        try:
            self.loop.run_until_complete(self.fleet.start())
            started_at = self.loop.time()
            for line in self.lines:
                self.loop.run_for(max(0.0, started_at + line.at - self.loop.time()))
                self._execute(line)
                money_oracle.check(self.fleet)
            self.fleet.heal()
            self.loop.run_for(5.0)
            self.fleet.table.deliver_held()
            self.loop.run_for(QUIET)
            money_oracle.check_quiet(self.fleet)
        finally:
            self.loop.finish()

    def _execute(self, line):
        execute = getattr(self, f"_do_{line.verb.replace('-', '_')}", None)
        if execute is None:
            raise TraceError(f"line {line.number}: unknown verb {line.verb}")
        execute(line, *line.words)

    def _do_ask(self, line, name, host, account):
        options = line.options
        tokens = int(options.get("tokens", "10"))
        self.attempts[name] = self.fleet.ask(
            host,
            account=account,
            key=options.get("key", name),
            body=options.get("body", "b").encode(),
            idempotent=options.get("kind", "chat") == "chat",
            tokens=tokens,
            reserved=int(options.get("reserved", tokens + 10)),
            delay=float(options.get("takes", "0")),
            mode=options.get("mode", "answer"),
            first=options.get("attempt") == "1",
        )

    def _do_topup(self, line, host, account, top_up_id, tokens):
        self.fleet.top_up(host, account, top_up_id, int(tokens))

    def _do_store(self, line, state):
        self.fleet.table.down = state == "down"
        self.fleet.table.delay = float(line.options.get("delay", "0"))

    def _do_lose_answers(self, line, count):
        self.fleet.table.lose_answers = int(count)

    def _do_hold_commits(self, line, count):
        self.fleet.table.hold_commits = int(count)

    def _do_deliver_commits(self, line):
        self.fleet.table.deliver_held()

    def _do_cut(self, line, *hosts):
        """Cut the named hosts off from the store and from all other hosts."""
        self.fleet.store_cut.update(hosts)
        others = set(self.fleet.places) - set(hosts)
        self.fleet.net.cut |= {frozenset((a, b)) for a in hosts for b in others}

    def _do_heal(self, line):
        self.fleet.heal()

    def _do_kill(self, line, host):
        self.fleet.kill(host)

    def _do_restart(self, line, host):
        self.loop.run_until_complete(self.fleet.restart(host))

    def _do_freeze(self, line, host):
        self.fleet.pause(host)

    def _do_wake(self, line, host):
        self.fleet.resume(host)

    def _do_unlist(self, line, host):
        self.fleet.list.remove(host)

    def _do_expect(self, line, name, label, code=None):
        outcome = self.attempts[name].outcome
        found = "nothing" if outcome is None else outcomes.label(outcome)
        found_code = getattr(outcome, "code", None)
        if found != label or (code is not None and found_code != code):
            raise TraceError(
                f"line {line.number}: {name} got {found} {found_code}, "
                f"expected {label} {code or ''}"
            )

    def _do_expect_runs(self, line, key, count):
        ran = sum(run.key == key for run in self.fleet.runs)
        if ran != int(count):
            raise TraceError(f"line {line.number}: {key} ran {ran} times, not {count}")

    def _do_expect_billed(self, line, account, tokens):
        prefix = rows.bill(account, "")
        bills = money_oracle.values(self.fleet, prefix).values()
        billed = sum(bill["tokens"] for bill in bills)
        if billed != int(tokens):
            raise TraceError(f"line {line.number}: {billed} billed, not {tokens}")
