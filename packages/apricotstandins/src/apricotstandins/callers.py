"""HTTP client that calls a daemon as a real caller does.

``Reply`` holds the response unchanged, for tests to check.
"""

import dataclasses
import http.client
import json
import secrets
import time
import typing as ty
import uuid

__all__ = ['Reply', 'call_http', 'make_key', 'post_request']

_VERSION = 0x7
_VARIANT = 0b10


def make_key(wall: float | None = None) -> str:
    """Return a UUIDv7 for the current time or for a given Unix time."""
    at = time.time() if wall is None else wall
    value = int(at * 1000) << 80
    value |= _VERSION << 76
    value |= secrets.randbits(12) << 64
    value |= _VARIANT << 62
    value |= secrets.randbits(62)
    return str(uuid.UUID(int=value))


@ty.final
@dataclasses.dataclass(slots=True)
class Reply:
    """Response to a caller; status 0 if there was none."""

    status: int = 0
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    body: bytes = b''
    # Error that ended the connection, if any.
    error: str = ''
    # Seconds to the first byte of the body and to the end.
    first_byte_s: float = 0.0
    total_s: float = 0.0

    def read_lines(self) -> list[dict[str, ty.Any]]:
        """Return the complete JSON lines of the body."""
        lines = []
        for line in self.body.splitlines():
            try:
                lines.append(json.loads(line))
            except ValueError:
                break
        return lines

    @property
    def outcome(self) -> str:
        """Return complete, not-run or unknown; ``cut`` if none is given."""
        lines = self.read_lines()
        if lines and 'outcome' in lines[-1]:
            return str(lines[-1]['outcome'])
        is_plain = self.status == 200 and 'content-length' in self.headers
        return 'complete' if is_plain and not self.error else 'cut'

    @property
    def code(self) -> str:
        """Return the error code, or an empty string."""
        lines = self.read_lines()
        return str(lines[-1].get('code', '')) if lines else ''

    def count_tokens(self) -> int:
        """Return the number of tokens received."""
        return sum(1 for line in self.read_lines() if 'index' in line)

    def is_complete_answer(self, key: str, tokens: int) -> bool:
        """Tell whether this is the complete answer to exactly this key."""
        lines = self.read_lines()
        if self.outcome != 'complete' or len(lines) != tokens + 1:
            return False
        if lines[-1].get('apricot-request') != key:
            return False
        for index, line in enumerate(lines[:-1]):
            if line.get('index') != index:
                return False
            if not str(line.get('request')).startswith(key):
                return False
        return True


def call_http(
    address: str,
    method: str,
    path: str,
    body: bytes = b'',
    headers: dict[str, str] | None = None,
    timeout: float = 60.0,
) -> Reply:
    """Make one HTTP call; errors are returned in the reply."""
    reply = Reply()
    started = time.monotonic()
    host, _, port = address.rpartition(':')
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
    try:
        connection.request(method, path, body, headers or {})
        response = connection.getresponse()
        reply.status = response.status
        reply.headers = {
            name.lower(): value for name, value in response.getheaders()
        }
        while chunk := response.read1(65_536):
            if not reply.body:
                reply.first_byte_s = time.monotonic() - started
            reply.body += chunk
    except (OSError, http.client.HTTPException) as error:
        reply.error = repr(error)
    finally:
        connection.close()
    reply.total_s = time.monotonic() - started
    return reply


def post_request(
    address: str,
    route: str,
    token: str,
    body: dict[str, ty.Any],
    key: str | None = None,
    deadline_ms: int | None = None,
    headers: dict[str, str] | None = None,
    timeout: float = 60.0,
) -> Reply:
    """Post a request to a service route for an organisation."""
    found = {
        'Authorization': f'Bearer {token}',
        'Content-Type': 'application/json',
    }
    if key is not None:
        found['Idempotency-Key'] = key
    if deadline_ms is not None:
        found['Apricot-Deadline-Ms'] = str(deadline_ms)
    return call_http(
        address,
        'POST',
        f'/v1/routes/{route}',
        json.dumps(body).encode(),
        found | (headers or {}),
        timeout,
    )
