"""Three hosts in one process: membership, locate and the operators' commands."""

import asyncio
import contextlib
import io
import json
import os

import aiohttp

from dogwoodchute.controllers import gossip
from dogwoodchute.coordination import rows
from dogwoodchute.tests import support, support_fleet
from dogwoodchute.tools import demo, dogwoodctl

NOTE = f"""
[note]
base = 0
[added account growers]
keys = {demo.catalog.hash_key(demo.CLIENT_KEY)}
services =
budget = 100
"""
FAST = {"heartbeat_interval": 0.2, "silent_after": 0.8, "stale_after": 60.0}


@contextlib.asynccontextmanager
async def running(**sections):
    """Run a fleet of three live hosts that has accepted a release note."""
    sections = {"peers": FAST, **sections}
    async with support_fleet.Fleet() as fleet:
        for place in support_fleet.FLEET:
            await fleet.run(*place, **sections)
        first = fleet.daemons["dar-1"]
        await first.releases.submit(NOTE)
        names = set(fleet.daemons)
        for name in names:
            host = fleet.daemons[name].host
            await support_fleet.until(lambda host=host: host.current.revision == 1)
        await support_fleet.until(
            lambda: all(len(located(fleet, name)) == 3 for name in names)
        )
        yield fleet


def located(fleet, name):
    """Return the hosts that accept callers, by what `name` knows of them."""
    known = fleet.daemons[name].host.peers.known()
    available = {
        p.host for p in known if p.alive and not p.leaving and p.caller_address
    }
    return available | ({name} if not fleet.daemons[name].host.leaving else set())


async def locate(fleet, name, *, key=demo.CLIENT_KEY):
    url = f"http://{fleet.daemons[name].host.caller_address}/v1/locate"
    headers = {"Authorization": f"Bearer {key}"}
    async with (
        aiohttp.ClientSession(headers=headers) as session,
        session.get(url) as response,
    ):
        return response.status, await response.json()


def ctl(daemon, *arguments):
    """Run dogwoodctl against a daemon; return its exit code and JSON output."""
    out = io.StringIO()
    address = f"127.0.0.1:{daemon.operators.port}"
    with contextlib.redirect_stdout(out), contextlib.redirect_stderr(out):
        code = dogwoodctl.main([*arguments, "--json", "--at", address])
    return code, json.loads(out.getvalue()) if code == 0 else out.getvalue()


class LocateTest(support.TestCase):
    def test_every_host_gives_the_same_first_host_of_its_region(self):
        async def scenario():
            async with running() as fleet:
                answers = [await locate(fleet, name) for name in fleet.daemons]
                self.assertEqual([200] * 3, [status for status, _ in answers])
                bodies = [body for _, body in answers]
                self.assertEqual(bodies[0], bodies[1])
                regions = [[h["region"] for h in b["hosts"]] for b in bodies]
                self.assertEqual(["dar", "dar", "aru"], regions[0])
                self.assertEqual(["aru", "dar"], regions[2])
                self.assertEqual(30.0, bodies[0]["lifetime"])
                status, body = await locate(fleet, "dar-1", key="unknown")
                self.assertEqual((401, "unknown_key"), (status, body["error"]["code"]))

        self.run_async(scenario())

    def test_leaving_full_and_stale_hosts_drop_out(self):
        async def scenario():
            async with running() as fleet:
                daemons = fleet.daemons

                async def wait_for_hosts(*names):
                    async with asyncio.timeout(support_fleet.BOUND):
                        while True:
                            body = (await locate(fleet, "dar-1"))[1]
                            if {h["host"] for h in body["hosts"]} == set(names):
                                return
                            await asyncio.sleep(0.05)

                fleet.hosts_listed.set("dar-2", "127.0.0.1", leaving=True)
                await wait_for_hosts("dar-1", "aru-1")
                daemons["aru-1"].host.in_flight = 300
                await wait_for_hosts("dar-1")
                daemons["aru-1"].host.in_flight = 0
                await wait_for_hosts("dar-1", "aru-1")
                daemons["aru-1"].membership._store_answered_at -= 100
                await wait_for_hosts("dar-1")

        self.run_async(scenario())

    def test_a_dead_host_leaves_and_a_restarted_one_returns(self):
        async def scenario():
            async with running() as fleet:
                old = fleet.daemons["dar-2"]
                await old.membership._streams.stop()
                await support_fleet.until(
                    lambda: (
                        "dar-2" not in located(fleet, "dar-1")
                        and "dar-2" not in located(fleet, "aru-1")
                    )
                )
                await fleet.run("dar-2", "dar", "dar-b", peers=FAST)
                new = fleet.daemons["dar-2"].host.incarnation
                await support_fleet.until(lambda: "dar-2" in located(fleet, "aru-1"))
                peer_layer = fleet.daemons["aru-1"].host.peers
                await support_fleet.until(
                    lambda: new in [peer.incarnation for peer in peer_layer.known()]
                )
                row = fleet.table.rows[rows.host("dar-2")].value
                self.assertEqual((2, new), (row["generation"], row["incarnation"]))
                # The older process learns of the newer one and drains by itself.
                await old.membership.sync_register()
                self.assertTrue(old.host.draining)

        self.run_async(scenario())


class HintsTest(support.TestCase):
    def test_a_large_hint_leaves_the_small_ones_in(self):
        shared = {"a": [1]}
        values = {"load": 0.5, "large": "x" * 5_000, "map": shared}
        fitting, left_out = gossip.hints_that_fit(values)
        self.assertEqual(({"load": 0.5, "map": shared}, ["large"]), (fitting, left_out))
        shared["a"].append(2)
        self.assertEqual({"a": [1]}, fitting["map"])


class StoreDownTest(support.TestCase):
    def test_a_host_that_starts_without_the_store_finds_the_fleet(self):
        async def scenario():
            async with running() as fleet:
                fleet.table.down = True
                # All hosts of this test share an address, so the port names the host.
                port = fleet.daemons["dar-2"].membership._streams.port
                fleet.hosts_listed.set("dar-2", "127.0.0.1")
                await fleet.run("dar-3", "dar", "dar-a", peers=FAST)
                streams = fleet.daemons["dar-3"].membership._streams
                await support_fleet.until(lambda: "dar-2" in streams.wanted_addresses)
                streams.wanted_addresses = {"dar-2": f"127.0.0.1:{port}"}
                await support_fleet.until(lambda: len(fleet.alive("dar-3")) == 3)
                await support_fleet.until(lambda: "dar-3" in fleet.alive("aru-1"))

        self.run_async(scenario())


class OperatorsTest(support.TestCase):
    def test_list_and_drain_through_another_host(self):
        async def scenario():
            drain = {"linger": 0.1}
            async with running(drain=drain) as fleet:
                os.environ["DOGWOODCTL_KEY"] = demo.OPERATOR_KEY
                self.addCleanup(os.environ.pop, "DOGWOODCTL_KEY")
                daemons = fleet.daemons

                async def command(*arguments):
                    return await asyncio.to_thread(ctl, daemons["dar-1"], *arguments)

                code, body = await command("host", "list")
                self.assertEqual(0, code)
                self.assertEqual(
                    [("aru-1", True), ("dar-1", True), ("dar-2", True)],
                    [(row["host"], row["takes_callers"]) for row in body["hosts"]],
                )
                code, body = await command("host", "drain", "dar-2")
                self.assertEqual((0, "draining"), (code, body["phase"]))
                await asyncio.wait_for(daemons["dar-2"].drain.done.wait(), 20)
                await support_fleet.until(lambda: len(located(fleet, "aru-1")) == 2)
                code, text = await command("host", "drain", "dar-9")
                self.assertEqual(1, code)
                self.assertIn("Host dar-9 did not answer", text)

        self.run_async(scenario())
