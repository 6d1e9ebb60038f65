"""Answers that come before the one that counts."""

import asyncio
from unittest import mock

from dogwoodchute.gateway import upstream
from dogwoodchute.platform import egress
from dogwoodchute.tests import support

INTERIM = b"HTTP/1.1 100 Continue\r\n\r\n"


class InterimTest(support.TestCase):
    def channel(self, loop):
        made = upstream.EndpointConnection(loop, wire=egress.wire_format())
        transport = mock.Mock()
        transport.is_closing.return_value = False
        made.connection_made(transport)
        made.set_response_params()
        return made, transport

    def test_endless_interim_answers_cost_the_parser_a_bounded_number_of_turns(self):
        async def story():
            parsed = []
            channel, transport = self.channel(asyncio.get_running_loop())
            base = upstream.client_proto.ResponseHandler.data_received

            def count(handler, data):
                parsed.append(len(data))
                base(handler, data)

            self.patch(upstream.client_proto.ResponseHandler, "data_received", count)
            channel.data_received(INTERIM * 10_000)
            self.assertLessEqual(len(parsed), upstream.MAX_INTERIM + 1)
            transport.abort.assert_called_once()
            self.assertTrue(channel.was_reset)

        self.run_async(story())

    def test_some_interim_answers_are_skipped(self):
        async def story():
            channel, transport = self.channel(asyncio.get_running_loop())
            channel.data_received(INTERIM * upstream.MAX_INTERIM)
            channel.data_received(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
            transport.abort.assert_not_called()
            for _ in range(upstream.MAX_INTERIM):
                message, _ = await channel.read()
                self.assertEqual(100, message.code)
            message, payload = await channel.read()
            self.assertEqual((200, b"ok"), (message.code, await payload.read()))

        self.run_async(story())
