"""Shutdown of the HTTP listener that daemon and gateway share."""

import collections.abc
import socket

import anyio
import testtools

from apricotlanding import addresses
from apricotlanding import asgi
from apricotlanding import shutdown
from apricotstandins import processes
import systems

# More than the socket buffers of both sides hold.
BODY = b'x' * (240 * 1024)
SMALL_BUFFER_BYTES = 4096


async def answer_large(
    scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send
) -> None:
    """Respond with a large body in a single part."""
    length = str(len(BODY)).encode()
    await asgi.start_response(send, 200, [(b'content-length', length)])
    await asgi.send_body_part(send, BODY, is_last=True)


class TestListenerEnd(testtools.TestCase):
    """Shutdown with a caller that reads its response late."""

    def run_scenario(
        self,
        scenario: collections.abc.Callable[
            [asgi.Server, socket.socket], collections.abc.Awaitable[None]
        ],
    ) -> None:
        anyio.run(self._run_scenario, scenario)

    async def _run_scenario(
        self,
        scenario: collections.abc.Callable[
            [asgi.Server, socket.socket], collections.abc.Awaitable[None]
        ],
    ) -> None:
        address = addresses.Address('127.0.0.1', processes.find_port())
        server = asgi.Server(answer_large, address)
        # Accepted connections inherit this option.
        server._sockets[0].setsockopt(
            socket.SOL_SOCKET, socket.SO_SNDBUF, SMALL_BUFFER_BYTES
        )
        with anyio.fail_after(10.0), socket.socket() as caller:
            async with anyio.create_task_group() as group:
                group.start_soon(server.serve)
                caller.setsockopt(
                    socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES
                )
                caller.connect((address.host, address.port))
                caller.sendall(b'GET / HTTP/1.1\r\nHost: h\r\n\r\n')
                await anyio.sleep(0.2)
                await scenario(server, caller)
                group.cancel_scope.cancel()

    def test_shutdown_waits_until_caller_has_read_response(self) -> None:
        # Guards against truncated responses in a graceful shutdown: the
        # application had sent the whole response and the process exited half
        # a second later, while the caller had not yet read the rest.
        async def scenario(server: asgi.Server, caller: socket.socket) -> None:
            self.assertFalse(await shutdown.close_listener(server, 0.8))
            self.assertNotEqual(0, server.count_unsent_bytes())
            received = await anyio.to_thread.run_sync(systems.read_all, caller)
            await server.wait_closed()
            self.assertTrue(received.endswith(BODY))

        self.run_scenario(scenario)

    def test_caller_that_never_reads_does_not_block_shutdown(self) -> None:
        # A caller that stops reading must not block the shutdown of a host.
        async def scenario(server: asgi.Server, caller: socket.socket) -> None:
            with anyio.fail_after(2.0):
                self.assertFalse(await shutdown.close_listener(server, 0.3))

        self.run_scenario(scenario)
