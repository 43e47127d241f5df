"""Connections of peers that are not known yet; on loopback."""

import collections.abc
import typing as ty

import anyio
import anyio.abc
import testtools

from apricotlanding import acceptance

MOST = 3
STRANGERS = 10


class AcceptanceTest(testtools.TestCase):
    def check_most(self, are_known: bool) -> int:
        """Return how many of the connections are served at once."""

        async def scenario() -> int:
            served = 0

            async def serve(
                stream: anyio.abc.SocketStream,
                on_known: collections.abc.Callable[[], None],
            ) -> None:
                nonlocal served
                served += 1
                if are_known:
                    on_known()
                async with stream:
                    await anyio.sleep_forever()

            multi = await anyio.create_tcp_listener(local_host='127.0.0.1')
            listener = multi.listeners[0]
            port = listener.extra(anyio.abc.SocketAttribute.local_port)
            accepted = acceptance.PeerListener(
                ty.cast(acceptance.Listener, listener), MOST
            )
            async with anyio.create_task_group() as group:
                group.start_soon(accepted.serve, serve)
                streams = [
                    await anyio.connect_tcp('127.0.0.1', port)
                    for _ in range(STRANGERS)
                ]
                await anyio.wait_all_tasks_blocked()
                await anyio.sleep(0.1)
                group.cancel_scope.cancel()
            for stream in streams:
                await stream.aclose()
            await multi.aclose()
            return served

        return anyio.run(scenario)

    def test_strangers_wait_unaccepted(self) -> None:
        """Guards against strangers that take memory and descriptors."""
        self.assertEqual(MOST, self.check_most(are_known=False))

    def test_known_peers_leave_their_room_to_others(self) -> None:
        """Guards against hosts that keep others out."""
        self.assertEqual(STRANGERS, self.check_most(are_known=True))

    def test_connections_that_cannot_be_accepted(self) -> None:
        """Guards against a listener that ends for want of descriptors."""

        class Full:
            calls = 0

            async def accept(self) -> anyio.abc.SocketStream:
                self.calls += 1
                if self.calls < 3:
                    raise OSError(24, 'too many open files')
                await anyio.sleep_forever()
                raise AssertionError

        async def ignore(
            stream: anyio.abc.SocketStream,
            on_known: collections.abc.Callable[[], None],
        ) -> None:
            return

        async def scenario() -> int:
            listener = Full()
            accepted = acceptance.PeerListener(listener)
            with anyio.move_on_after(5 * acceptance.RETRY_S):
                await accepted.serve(ignore)
            return listener.calls

        self.assertEqual(3, anyio.run(scenario))
