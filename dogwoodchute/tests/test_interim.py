"""Interim (1xx) answers before the final one."""

import asyncio
from unittest import mock

from aiohttp import client_proto

from dogwoodchute import endpoint_connection
from dogwoodchute.tests import support

INTERIM = b"HTTP/1.1 100 Continue\r\n\r\n"


class InterimTest(support.TestCase):
    def connect(self, loop):
        connection = endpoint_connection.EndpointConnection(
            loop, closes_after=lambda status, headers, raw: False
        )
        transport = mock.Mock()
        transport.is_closing.return_value = False
        connection.connection_made(transport)
        connection.set_response_params()
        return connection, transport

    def test_endless_interim_answers_cost_the_parser_a_bounded_number_of_turns(self):
        async def scenario():
            parsed_sizes = []
            connection, transport = self.connect(asyncio.get_running_loop())
            base = client_proto.ResponseHandler.data_received

            def count(handler, data):
                parsed_sizes.append(len(data))
                base(handler, data)

            self.patch(client_proto.ResponseHandler, "data_received", count)
            connection.data_received(INTERIM * 10_000)
            self.assertLessEqual(len(parsed_sizes), endpoint_connection.MAX_INTERIM + 1)
            transport.abort.assert_called_once()
            self.assertTrue(connection.was_reset)

        self.run_async(scenario())

    def test_some_interim_answers_are_skipped(self):
        async def scenario():
            connection, transport = self.connect(asyncio.get_running_loop())
            connection.data_received(INTERIM * endpoint_connection.MAX_INTERIM)
            connection.data_received(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
            transport.abort.assert_not_called()
            for _ in range(endpoint_connection.MAX_INTERIM):
                message, _ = await connection.read()
                self.assertEqual(100, message.code)
            message, payload = await connection.read()
            self.assertEqual((200, b"ok"), (message.code, await payload.read()))

        self.run_async(scenario())
