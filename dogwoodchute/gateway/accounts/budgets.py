"""Assembles the parts of a host that keep client accounts' prepaid budgets."""

import typing
from collections import abc

from dogwoodchute.coordination import checkpoints
from dogwoodchute.gateway import contact, hosts, model, registration, rows
from dogwoodchute.gateway.accounts import (
    accounts,
    homes,
    lost_holdings,
    reclaim,
    reservations,
    transfer_protocol,
    transfer_sources,
    witnessing,
)


class Calls(typing.NamedTuple):
    """Calls of other hosts, about tokens."""

    request_from_host: transfer_protocol.RequestFromHost
    give_back_to_host: transfer_protocol.GiveBack
    witnesses: witnessing.Client


class Budgets(typing.NamedTuple):
    """The parts; each has a `run` that goes on until cancelled."""

    accounts: accounts.Accounts
    witnessing: witnessing.Witnessing
    lost_holdings: lost_holdings.LostHoldings
    reclaimer: reclaim.Reclaimer


def assemble(
    *,
    deployment: model.Deployment,
    store: rows.Store,
    store_contact: contact.Contact,
    config: abc.Callable[[], model.Config | None],
    fleet: hosts.Hosts,
    own_row: registration.OwnRow,
    account_homes: homes.Homes,
    host_calls: Calls,
    horizon: abc.Callable[[], float],
    now: abc.Callable[[], float],
) -> Budgets:
    """Return the parts for one host.

    `store` is watched by `store_contact`; `horizon` returns the seconds of use that the
    host draws in advance.
    """
    token_sources = transfer_sources.TransferSources(
        live=lambda: fleet.live,
        homes=account_homes,
        request_from_host=host_calls.request_from_host,
        give_back_to_host=host_calls.give_back_to_host,
    )
    witness = witnessing.Witnessing(
        id=fleet.id,
        live=lambda: fleet.live,
        contact=store_contact,
        store=store,
        client=host_calls.witnesses,
        now=now,
    )
    return Budgets(
        accounts=accounts.Accounts(
            holder=fleet.id,
            store=store,
            config=config,
            hosts=lambda: fleet.count,
            request_tokens=token_sources.request,
            home=reservations.Home(
                is_local=account_homes.is_local,
                is_remote=lambda name: account_homes.remote_home(name) is not None,
                request=token_sources.request_from_home,
                give_back=token_sources.give_back_to_home,
            ),
            now=now,
            horizon=horizon,
            registered=lambda: own_row.registered_version,
            regions=len(set(deployment.regions.values())),
            rates=checkpoints.Rates(
                part=deployment.part_commits, fleet=deployment.commits
            ),
            witnesses=reservations.Witnesses(
                names=witness.names,
                may_rise=witness.may_rise,
                live_ids=lambda: fleet.live_ids,
            ),
        ),
        witnessing=witness,
        lost_holdings=lost_holdings.LostHoldings(
            store=store,
            fleet=lost_holdings.Fleet(
                live=lambda: fleet.live_ids,
                down=lambda: fleet.down_ids,
                registered=lambda: fleet.registered,
                is_responsible_for=fleet.ranks_first,
            ),
            count_denials=witness.count_denials,
            now=now,
        ),
        reclaimer=reclaim.Reclaimer(
            store=store,
            registered=lambda: fleet.registered,
            is_responsible_for=fleet.ranks_first,
            now=now,
        ),
    )
