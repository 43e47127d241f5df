"""What an operator asks: the properties of a request, as a JSON object.

    {"path": "/v1/chat", "hostname": "api.example", "organisation": "festin",
     "prompt_tokens": 688, "output_tokens": 290, "expected_tokens": 120,
     "prompt_parts": ["3f2a", "77b0"], "deadline_ms": 3000, "priority": 1,
     "attempt": "a-1"}

Only the path and the host name are required. An organisation is named, and no
key is sent.
"""

import dataclasses
import typing as ty

from apricotlanding import errors
from apricotlanding import ids
from apricotlanding import plainjson

__all__ = ['MAX_BYTES', 'Question', 'read_question']

# Limits of a question, of its texts and of its prompt's parts.
MAX_BYTES = 16 * 1024
MAX_CHARS = 2000
MAX_PARTS = 256
# Limits of the numbers, as for callers' headers.
MAX_TOKENS = 10**9
MAX_DEADLINE_MS = 86_400_000
MAX_TIER = 1000
# Attempt of a question that names none. It chooses among the services of a
# route, and the requests that a trial of a release gets.
DEFAULT_ATTEMPT = 'explain-placement'

_Table = dict[str, ty.Any]


@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class Question:
    """The properties of a request."""

    path: str
    hostname: str
    # None for a request without a key.
    organisation: ids.Organisation | None = None
    # Tokens of the prompt, and the limit of generated tokens; None if the
    # caller states none.
    prompt_tokens: int | None = None
    output_tokens: int | None = None
    # The caller's estimate of the generated tokens.
    expected_tokens: int | None = None
    # Digests of the prompt's parts, in order.
    prompt_parts: tuple[str, ...] = ()
    # Seconds that the caller waits; None for the time of the route.
    deadline_s: float | None = None
    # Tier in place of the configured one.
    priority: ids.Tier | None = None
    attempt: str = DEFAULT_ATTEMPT


def read_question(data: bytes) -> Question:
    """Read a question; raises errors.Refused, which names the remedy."""
    table = _read_table(data)
    found = Question(
        path=_read_text(table, 'path'),
        hostname=_read_text(table, 'hostname').lower(),
        organisation=_read_organisation(table),
        prompt_tokens=_read_number(table, 'prompt_tokens', MAX_TOKENS),
        output_tokens=_read_number(table, 'output_tokens', MAX_TOKENS),
        expected_tokens=_read_number(table, 'expected_tokens', MAX_TOKENS),
        prompt_parts=_read_parts(table),
        deadline_s=_read_deadline(table),
        priority=_read_tier(table),
        attempt=_read_text(table, 'attempt', DEFAULT_ATTEMPT),
    )
    if not found.path.startswith('/'):
        raise _refuse("path must begin with '/'")
    return found


def _read_table(data: bytes) -> _Table:
    if len(data) > MAX_BYTES:
        raise _refuse(f'it has more than {MAX_BYTES} bytes')
    try:
        value = plainjson.parse(data)
    except ValueError as error:
        raise _refuse(f'it is not JSON: {str(error)[:200]}') from None
    if not isinstance(value, dict):
        raise _refuse('it is not a JSON object')
    known = {field.name for field in dataclasses.fields(Question)}
    known = known - {'deadline_s'} | {'deadline_ms'}
    for name in value:
        if name not in known:
            raise _refuse(
                f'it has no field {name[:100]!r}; the fields are'
                f' {", ".join(sorted(known))}'
            )
    # A field that is null counts as absent.
    return {name: item for name, item in value.items() if item is not None}


def _read_text(table: _Table, name: str, default: str | None = None) -> str:
    value = table.get(name, default)
    if value is None:
        raise _refuse(f'{name} is missing')
    if not isinstance(value, str) or not 0 < len(value) <= MAX_CHARS:
        raise _refuse(f'{name} must be a text of 1 to {MAX_CHARS} characters')
    if not value.isprintable():
        raise _refuse(f'{name} has characters that cannot be printed')
    return value


def _read_organisation(table: _Table) -> ids.Organisation | None:
    if 'organisation' not in table:
        return None
    return ids.Organisation(_read_text(table, 'organisation'))


def _read_number(
    table: _Table, name: str, maximum: int, minimum: int = 0
) -> int | None:
    value = table.get(name)
    if value is None:
        return None
    # A truth value is an integer in Python.
    is_number = isinstance(value, int) and not isinstance(value, bool)
    if not is_number or not minimum <= value <= maximum:
        raise _refuse(
            f'{name} must be a whole number from {minimum} to {maximum}'
        )
    return int(value)


def _read_deadline(table: _Table) -> float | None:
    value = _read_number(table, 'deadline_ms', MAX_DEADLINE_MS, 1)
    return None if value is None else value / 1000


def _read_tier(table: _Table) -> ids.Tier | None:
    value = _read_number(table, 'priority', MAX_TIER)
    return None if value is None else ids.Tier(value)


def _read_parts(table: _Table) -> tuple[str, ...]:
    value = table.get('prompt_parts', [])
    if not isinstance(value, list) or len(value) > MAX_PARTS:
        raise _refuse(f'prompt_parts must be a list of up to {MAX_PARTS}')
    found: list[str] = []
    for position, item in enumerate(value):
        name = f'prompt_parts[{position}]'
        found.append(_read_text({name: item}, name))
    return tuple(found)


def _refuse(detail: str) -> errors.Refused:
    return errors.Refused(
        errors.make_problem(errors.Kind.BAD_QUESTION, detail=detail)
    )
