"""Stand-in for the platform's list of live and leaving hosts.

``POST /standin/hosts`` replaces the list and ``POST /standin/state`` changes
the state of one host. A change becomes visible after the lag that ``POST
/standin/lag`` sets.
"""

import json
import typing as ty

from apricotlanding import asgi
from apricotlanding import clocks

__all__ = ['HostService']


@ty.final
class HostService:
    """ASGI application that serves the host list."""

    def __init__(self) -> None:
        """Create an empty list without lag."""
        self._lag_s = 0.0
        self._hosts: list[dict[str, ty.Any]] = []
        # Changes that are not visible yet: (time of visibility, list).
        self._pending: list[tuple[float, list[dict[str, ty.Any]]]] = []
        self._visible: list[dict[str, ty.Any]] = []

    async def __call__(
        self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send
    ) -> None:
        """Handle one request."""
        body = await asgi.read_body(receive, 16 * 1024 * 1024)
        path = scope['path']
        now = clocks.read_monotonic()
        if path == '/hosts':
            await asgi.send_json(send, 200, {'hosts': self._read_visible(now)})
            return
        if path == '/standin/hosts':
            self._schedule_change(json.loads(body)['hosts'], now)
        elif path == '/standin/state':
            self._schedule_change(self._apply_state(json.loads(body)), now)
        elif path == '/standin/lag':
            self._lag_s = float(json.loads(body)['lag_s'])
        else:
            await asgi.send_json(send, 404, {'error': 'no such path'})
            return
        await asgi.send_json(send, 200, {})

    def _read_visible(self, now: float) -> list[dict[str, ty.Any]]:
        while self._pending and self._pending[0][0] <= now:
            _, self._visible = self._pending.pop(0)
        return self._visible

    def _schedule_change(
        self, hosts: list[dict[str, ty.Any]], now: float
    ) -> None:
        self._hosts = hosts
        self._pending.append((now + self._lag_s, hosts))

    def _apply_state(
        self, change: dict[str, ty.Any]
    ) -> list[dict[str, ty.Any]]:
        hosts = []
        for host in self._hosts:
            if host['name'] != change['name']:
                hosts.append(host)
                continue
            if change['state'] != 'gone':
                hosts.append(host | {'state': change['state']})
        return hosts
