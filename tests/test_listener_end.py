"""The end of an HTTP listener, which the daemon and the gateway share."""

import collections.abc
import socket

import anyio
import testtools

from apricotlanding import addresses
from apricotlanding import asgi
from apricotlanding import shutdown
from apricotstandins import processes
import systems

# More than both sockets hold for a caller that does not read.
BODY = b'x' * (240 * 1024)
SMALL_BUFFER = 4096


async def answer_large(
    scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send
) -> None:
    """Answer with a large body, all at once."""
    length = str(len(BODY)).encode()
    await asgi.start_response(send, 200, [(b'content-length', length)])
    await asgi.send_body_part(send, BODY, is_last=True)


class TestListenerEnd(testtools.TestCase):
    """A caller that reads late."""

    def play(
        self,
        scene: collections.abc.Callable[
            [asgi.Server, socket.socket], collections.abc.Awaitable[None]
        ],
    ) -> None:
        anyio.run(self._play, scene)

    async def _play(
        self,
        scene: collections.abc.Callable[
            [asgi.Server, socket.socket], collections.abc.Awaitable[None]
        ],
    ) -> None:
        address = addresses.Address('127.0.0.1', processes.find_port())
        server = asgi.Server(answer_large, address)
        # Connections take this over.
        server._sockets[0].setsockopt(
            socket.SOL_SOCKET, socket.SO_SNDBUF, SMALL_BUFFER
        )
        with anyio.fail_after(10.0), socket.socket() as caller:
            async with anyio.create_task_group() as group:
                group.start_soon(server.serve)
                caller.setsockopt(
                    socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER
                )
                caller.connect((address.host, address.port))
                caller.sendall(b'GET / HTTP/1.1\r\nHost: h\r\n\r\n')
                await anyio.sleep(0.2)
                await scene(server, caller)
                group.cancel_scope.cancel()

    def test_end_waits_until_the_caller_has_its_answer(self) -> None:
        # A caller lost the end of its answer in a planned stop. The answer
        # was complete for the program, which waited half a second more and
        # ended; the rest of it still waited for the caller to read.
        async def scene(server: asgi.Server, caller: socket.socket) -> None:
            self.assertFalse(await shutdown.close_listener(server, 0.8))
            self.assertNotEqual(0, server.count_unsent())
            received = await anyio.to_thread.run_sync(systems.read_all, caller)
            await server.wait_closed()
            self.assertTrue(received.endswith(BODY))

        self.play(scene)

    def test_caller_that_never_reads_does_not_hold_it_for_good(self) -> None:
        # One stuck caller must not keep a host from being replaced.
        async def scene(server: asgi.Server, caller: socket.socket) -> None:
            with anyio.fail_after(2.0):
                self.assertFalse(await shutdown.close_listener(server, 0.3))

        self.play(scene)
