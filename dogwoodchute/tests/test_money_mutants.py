"""Injected faults, each of which the oracle of the money machine must detect."""

from unittest import mock

import hypothesis
from hypothesis import stateful

from dogwoodchute import log
from dogwoodchute.controllers import bills
from dogwoodchute.coordination import grants
from dogwoodchute.filters import claim, deduplicate
from dogwoodchute.platform import table, table_client
from dogwoodchute.tests import money_oracle, support, test_money_machine

EXAMPLES = 60
STEPS = 30


def skip_reserve(ledger, tokens):
    ledger.reserved += tokens
    return True


def without_bill_checks(real):
    def without_checks(self, ready):
        checks, writes = real(self, ready)
        return [check for check in checks if not check.key.startswith("bill/")], writes

    return without_checks


def return_twice(real):
    def draw(balance, grant, tokens):
        balance, grant = real(balance, grant, tokens)
        if tokens < 0:
            balance = balance._replace(drawn=balance.drawn + tokens)
        return balance, grant

    return draw


def claim_after_dispatch(real):
    def make(*, host, claim_controller):
        async def claim_late(exchange, proceed):
            outcome = await proceed()
            if not exchange.idempotent:
                key = exchange.request_key
                account = exchange.account.name
                await claim_controller.insert(account, key, exchange.fingerprint)
                claim_controller.mark_ended(account, key)
            return outcome

        return claim_late

    return make


def treat_unknown_as_committed(real):
    async def commit(self, commit_id, checks, writes, *, within=0):
        outcome = await self._inner.commit(commit_id, checks, writes)
        if isinstance(outcome, table.Unknown):
            return table.Committed(versions={write.key: 0 for write in writes})
        return outcome

    return commit


def ignore_account(real):
    def get(self, account, request_key):
        for (_, key), run in {**self._kept, **self._running}.items():
            if key == request_key:
                return run
        return None

    return get


class InjectedFaultTest(support.TestCase):
    def assert_caught(self, target, name, mutant, *messages):
        settings = hypothesis.settings(
            support.fuzz_settings(EXAMPLES, STEPS),
            max_examples=EXAMPLES,
            phases=[hypothesis.Phase.generate],
            report_multiple_bugs=False,
        )
        with (
            mock.patch.object(log, "error"),
            mock.patch.object(target, name, mutant),
        ):
            violation = self.assertRaises(
                money_oracle.InvariantViolation,
                stateful.run_state_machine_as_test,
                test_money_machine.MoneyMachine,
                settings=settings,
            )
        self.assertTrue(
            any(message in str(violation) for message in messages), violation
        )

    def test_reserve_skipped(self):
        self.assert_caught(grants.Ledger, "reserve", skip_reserve, "uncovered")

    def test_bill_without_its_check(self):
        mutant = without_bill_checks(bills.Bills._checks_and_writes)
        self.assert_caught(
            bills.Bills, "_checks_and_writes", mutant, "grants add up to bills"
        )

    def test_grant_returned_twice(self):
        mutant = return_twice(grants.draw)
        self.assert_caught(grants, "draw", mutant, "is drawn", "InvariantError")

    def test_claim_after_dispatch(self):
        mutant = claim_after_dispatch(claim.make)
        self.assert_caught(claim, "make", mutant, "runs once", "never ran")

    def test_unknown_commit_treated_as_committed(self):
        mutant = treat_unknown_as_committed(table_client.Client.commit)
        messages = ("durable bill", "InvariantError", "granted in all is drawn")
        self.assert_caught(table_client.Client, "commit", mutant, *messages)

    def test_answer_of_another_account(self):
        mutant = ignore_account(deduplicate.Runs.get)
        self.assert_caught(deduplicate.Runs, "get", mutant, "whole answer of its own")
