"""Builds one host's daemon: listeners, filter chain and controllers."""

from dogwoodchute import (
    callers,
    callers_errors,
    callers_locate,
    controller,
    drain,
    endpoint_check,
    exchange,
    forward,
    log,
    operators,
    operators_burn,
    operators_endpoints,
    operators_fleet,
    operators_money,
    operators_orders,
    operators_releases,
    peer_streams,
    server,
    state,
)
from dogwoodchute.controllers import (
    bills,
    budgets,
    burn,
    claims,
    copies,
    endpoint_loads,
    endpoints,
    grants,
    hostlist,
    lookups,
    membership,
    order_client,
    orders,
    recall,
    reclaim,
    releases,
    table_path,
)
from dogwoodchute.filters import (
    admit,
    authenticate,
    bill,
    choose,
    claim,
    deduplicate,
    dispatch,
    limit,
    observe,
    quarantine,
    relay,
    reserve,
    resolve,
    resume,
)


class Daemon:
    """One host's listeners, filter chain and controllers.

    `streams` are the connections behind `host.peers`, None for a host without peers.
    """

    def __init__(
        self, *, host: state.HostState, streams: peer_streams.Streams | None = None
    ) -> None:
        self.host = host
        config = host.config
        table_path_controller = table_path.make(host)
        self.grants = grants.Grants(host=host)
        self.bills = bills.Bills(host=host, grant_controller=self.grants)
        self.copies = copies.Copies(
            host=host, grant_controller=self.grants, bill_writer=self.bills
        )
        self.reclaim = reclaim.Reclaimer(
            host=host, grant_controller=self.grants, bill_copies=self.copies
        )
        self.recall = recall.Recaller(host=host, grant_controller=self.grants)
        self.grants.recall = self.recall.recall
        self.claims = claims.Claims(host=host)
        self.budgets = budgets.Budgets(host=host)
        self.releases = releases.Releases(host=host)
        recorder = burn.Recorder()
        self.burn = burn.BurnSummaries(host=host, recorder=recorder)
        self.orders = orders.Orders(host=host, engines=order_client.http_engines())
        self.endpoints = endpoints.Endpoints(host=host)
        self.loads = endpoint_loads.LoadPoller(host=host, endpoints=self.endpoints)
        self.forwarder = forward.Forwarder(host=host)
        self.callers = _server("callers", host)
        self.operators = _server("operators", host)
        self.drain = drain.Drain(host=host, steps=self._drain_steps())
        self.membership: membership.Membership | None = None
        if streams is not None:
            self.membership = membership.Membership(
                host=host, streams=streams, superseded=self._superseded
            )
        self._controllers = [
            *(self.membership.controllers() if self.membership is not None else []),
            hostlist.make(host),
            table_path_controller,
            controller.Controller(
                "forwarder", self.forwarder.start, self.forwarder.stop
            ),
            self.releases.controller(),
            self.burn.controller(),
            self.orders.controller(),
            self.grants.controller(),
            self.copies.controller(),
            self.bills.controller(),
            self.reclaim.controller(),
            self.recall.controller(),
            self.endpoints.controller(),
            self.loads.controller(),
        ]
        chain = exchange.chain(
            [
                observe.make(recorder=recorder),
                admit.make(host=host),
                authenticate.make(host=host),
                resolve.make(host=host),
                resume.make_check(host=host),
                deduplicate.make(
                    runs=deduplicate.Runs(), bill_lookups=lookups.BillLookups(host=host)
                ),
                relay.make(host=host, forwarder=self.forwarder),
                claim.make(host=host, claim_controller=self.claims),
                reserve.make(grant_controller=self.grants),
                bill.make(
                    host=host, grant_controller=self.grants, bill_writer=self.bills
                ),
                resume.make_continue(host=host, forwarder=self.forwarder),
                limit.make(host=host, endpoints=self.endpoints),
                choose.make(endpoints=self.endpoints),
                quarantine.make(has_ended=endpoint_check.has_ended, now=host.now),
                dispatch.make(forwarder=self.forwarder),
            ]
        )
        callers_errors.add_handlers(self.callers.app)
        callers.add_routes(self.callers.app, host=host, run=chain)
        callers_locate.add_routes(self.callers.app, host=host)
        operators_money.add_routes(
            self.operators.app, host=host, account_budgets=self.budgets
        )
        operators_money.add_caller_routes(
            self.callers.app, host=host, account_budgets=self.budgets
        )
        operators_fleet.add_routes(self.operators.app, host=host, host_drain=self.drain)
        operators_endpoints.add_routes(
            self.operators.app, host=host, endpoints=self.endpoints
        )
        operators.add_routes(self.operators.app, host=host)
        operators_releases.add_routes(
            self.operators.app, host=host, release_controller=self.releases
        )
        operators_burn.add_routes(
            self.operators.app, host=host, burn_summaries=self.burn
        )
        operators_orders.add_routes(
            self.operators.app, host=host, order_controller=self.orders
        )
        self._config = config

    async def start(self) -> None:
        """Start the controllers, then the listeners."""
        await controller.start_all(self._controllers)
        config = self._config.host
        tls = self._config.tls
        await self.operators.start(
            config.operator_address,
            config.operator_port,
            tls=server.tls_context(tls.operator_certificate, tls.operator_key),
        )
        await self.callers.start(
            config.address,
            config.caller_port,
            tls=server.tls_context(tls.caller_certificate, tls.caller_key),
        )
        self.host.caller_address = peer_streams.join_address(
            config.address, self.callers.port
        )
        if self.membership is not None:
            self.membership.request_renewal()
        log.info(
            "host_started",
            host=config.id,
            incarnation=self.host.incarnation,
            caller_port=self.callers.port,
            operator_port=self.operators.port,
        )

    def _drain_steps(self) -> drain.Steps:
        return drain.Steps(
            leave=self._leave,
            close=self.callers.close,
            count_pending=lambda: self.host.in_flight + self.callers.open_connections,
            settle={"bills": self.bills.flush, "grants": self.grants.return_all},
            hand_over={"copies": self.copies.hand_over},
        )

    async def _leave(self) -> None:
        if self.membership is not None:
            await self.membership.step()

    def _superseded(self, incarnation: str) -> None:
        self.drain.begin(f"superseded by {incarnation}")

    async def stop(self) -> None:
        """Stop the callers' listener, then the controllers, which save what must last.

        Doesn't wait for requests in flight; `drain` does.
        """
        self.host.draining = True
        await self.callers.stop()
        await controller.stop_all(self._controllers)
        await self.operators.stop()
        log.info("host_stopped", host=self._config.host.id)


def _server(name: str, host: state.HostState) -> server.Server:
    limits = host.config.limits
    return server.Server(
        name=f"{name}-{host.incarnation}",
        body_bytes=limits.body_bytes,
        header_bytes=limits.header_bytes,
        idle_timeout=limits.idle_timeout,
    )
