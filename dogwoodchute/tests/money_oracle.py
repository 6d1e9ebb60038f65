"""Invariants of budgets, bills, claims and answers, checked on the stored rows."""

import collections

from dogwoodchute import outcomes
from dogwoodchute.controllers import bills
from dogwoodchute.coordination import rows
from dogwoodchute.tests import money_fleet


class InvariantViolation(AssertionError):
    """An invariant does not hold."""


def expect(condition, invariant, *details):
    if not condition:
        raise InvariantViolation(f"{invariant}: {details}")


def values(fleet, prefix):
    found = fleet.table.rows.items()
    return {key: row.value for key, row in found if key.startswith(prefix)}


def check_money(fleet):
    """Check that spend is never above paid, and that each top-up counts once."""
    for account, first in fleet.accounts.items():
        budget = fleet.table.rows[rows.budget(account)].value
        grants = values(fleet, rows.grant(account, "")).values()
        billed = [bill["tokens"] for bill in values(fleet, f"bill/{account}/").values()]
        closed = budget.get("closed_billed", 0)
        for grant in grants:
            expect(0 <= grant["billed"] <= grant["granted"], "billed <= granted", grant)
        expect(budget["drawn"] <= budget["paid"], "drawn <= paid", budget)
        granted = closed + sum(grant["granted"] for grant in grants)
        expect(granted == budget["drawn"], "granted in all is drawn", granted, budget)
        expect(sum(billed) <= budget["paid"], "spend <= paid", sum(billed), budget)
        spent = closed + sum(grant["billed"] for grant in grants)
        expect(spent == sum(billed), "grants add up to bills", spent, sum(billed))
        top_up_rows = values(fleet, f"topup/{account}/")
        total = first + sum(row["tokens"] for row in top_up_rows.values())
        expect(budget["paid"] == total, "each top-up counts once", budget, total)
        for (top_up_id, tokens), acknowledged in fleet.top_ups[account].items():
            if acknowledged:
                row = top_up_rows.get(rows.top_up(account, top_up_id))
                expect(row and row["tokens"] == tokens, "acknowledged top-up", row)


def check_bills(fleet):
    """Check that each bill is of a run, and of no more than that run used."""
    used = collections.defaultdict(set)
    for run in fleet.runs:
        used[rows.bill(run.account, run.key)] |= {run.tokens, run.tokens // 2, 0}
    for key, value in values(fleet, "bill/").items():
        tokens = value["tokens"] + value.get("uncovered", 0)
        expect(tokens in used[key], "bill of a run", key, value)
        if value.get("uncovered"):
            lost = value["incarnation"] in fleet.lost_grants
            expect(lost, "uncovered only after a lost grant", key, value)


def check_claims(fleet):
    """Check that a non-idempotent call reaches the endpoint at most once."""
    runs = collections.Counter(
        (r.account, r.key) for r in fleet.runs if not r.idempotent
    )
    for key, count in runs.items():
        expect(count == 1, "non-idempotent call runs once", key, count)


def check_attempts(fleet):
    """Check that the outcome that each caller got is true."""
    for attempt in fleet.attempts:
        outcome, exchange = attempt.outcome, attempt.exchange
        if isinstance(outcome, outcomes.Answered):
            whole = attempt.answer.startswith(money_fleet.identity(exchange))
            whole = whole and attempt.answer.endswith(b"|end")
            expect(whole, "whole answer of its own", attempt.id, attempt.answer)
        if isinstance(outcome, outcomes.NotRun):
            expect(not attempt.ran, "not_run did not run", attempt.id, outcome)
            if not exchange.idempotent:
                expect(not attempt.ran_before, "not_run never ran", attempt.id, outcome)
        if isinstance(attempt.bill_outcome, bills.Durable):
            key = rows.bill(*attempt.id)
            expect(key in fleet.table.rows, "durable bill is in the store", attempt.id)


def check(fleet):
    """Check the invariants that must hold at any moment."""
    expect(not fleet.errors, "no error", fleet.errors)
    check_money(fleet)
    check_bills(fleet)
    check_claims(fleet)
    check_attempts(fleet)


def check_quiet(fleet):
    """Check what must hold once all faults have ended and everything has settled."""
    check(fleet)
    for attempt in fleet.attempts:
        if attempt.incarnation in fleet.killed:
            continue
        expect(attempt.outcome is not None, "every caller gets an outcome", attempt.id)
    lost = {id_if_bill_may_be_lost(fleet, attempt) for attempt in fleet.attempts}
    for attempt in fleet.attempts:
        if not isinstance(attempt.outcome, outcomes.Answered):
            continue
        billed = rows.bill(*attempt.id) in fleet.table.rows
        expect(
            billed or attempt.id in lost, "an answered request has a bill", attempt.id
        )
    for host in fleet.hosts.values():
        if host.gate.dead:
            continue
        expect(not host.bills.unwritten, "no bill is left", host.name)
        for name in host.grants.accounts:
            ledger = host.grants.ledger(name)
            expect(ledger.reserved == 0, "nothing stays reserved", host.name, name)
            expect(ledger.unbilled == 0, "nothing stays unbilled", host.name, name)


def id_if_bill_may_be_lost(fleet, attempt):
    """Return the id of an attempt whose bill may be lost with killed hosts, or None."""
    if attempt.incarnation not in fleet.killed or isinstance(
        attempt.bill_outcome, bills.Durable | bills.Elsewhere
    ):
        return None
    if isinstance(attempt.bill_outcome, bills.AtPeers):
        restarted = {name.rpartition("-")[0] for name in fleet.killed}
        if not restarted.issuperset(attempt.bill_outcome.hosts):
            return None
    return attempt.id
