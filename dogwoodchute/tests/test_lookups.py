"""Lookups of earlier bills, with many keys in one read."""

import asyncio

from dogwoodchute import runtime
from dogwoodchute.controllers import lookups
from dogwoodchute.coordination import rows
from dogwoodchute.platform import table
from dogwoodchute.standins import table as memory_table
from dogwoodchute.tests import endpoints, support, virtual


class LookupsTest(support.TestCase):
    def test_many_keys_share_few_reads(self):
        loop = virtual.Loop()
        memory = memory_table.MemoryTable()
        write = table.Write(rows.bill("growers", "k7"), {"tokens": 3})
        memory.apply("bill", [], [write])
        host = runtime.embedded_state(endpoints.config(), memory=memory)
        bill_lookups = lookups.BillLookups(host=host)

        async def scenario():
            keys = [f"k{n}" for n in range(300)]
            return await asyncio.gather(
                *(bill_lookups.find_bill("growers", key) for key in keys)
            )

        found = loop.run_until_complete(scenario())
        loop.finish()
        self.assertEqual([7], [n for n, row in enumerate(found) if row is not None])
        self.assertLessEqual(memory.reads, 3)
