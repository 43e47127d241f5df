"""Strategies for malformed input, and the number of examples per test.

Most faults are triggered by input that is almost valid: one field of another
type, or one changed byte. So besides random values, valid values are corrupted
in a few places. Without ``APRICOT_EXAMPLES`` a test uses the same examples in
each run, so that its result changes only with the code.
"""

import copy
import json
import os
import struct
import typing as ty

import hypothesis
from hypothesis import strategies

__all__ = [
    'JSON',
    'configure_examples',
    'corrupt',
    'corrupt_bytes',
    'encode_json',
    'generate_corrupted',
    'list_seeds',
]

EXAMPLES_VARIABLE = 'APRICOT_EXAMPLES'
# Examples per test if the variable is not set; they take half a second.
EXAMPLES = 150
# Examples that take about as long as one seed of a test with whole hosts.
EXAMPLES_PER_SEED = 500
T = ty.TypeVar('T')

_SCALARS = strategies.one_of(
    strategies.none(),
    strategies.booleans(),
    strategies.integers(),
    strategies.sampled_from(
        [-1, 0, 2**31, 2**63 - 1, 2**63, 2**64, 10**30, 10**400, -(10**400)]
    ),
    strategies.floats(),
    strategies.sampled_from([1e308, -1e308, 1e16, 0.1, -0.0]),
    # With lone surrogates, which JSON can represent and UTF-8 cannot.
    strategies.text(strategies.characters(exclude_categories=()), max_size=20),
    strategies.sampled_from(
        [
            '',
            '7',
            'nan',
            '10.0.0.1:8080',
            '[::1]:80',
            '0.0.0.0:1',
            'host.example:80',
            '10.0.0.1:99999',
            'a\r\nhold: 1',
            '\udcff',
            'x' * 5000,
            '9' * 5000,
        ]
    ),
)
JSON = strategies.recursive(
    _SCALARS,
    lambda inner: strategies.one_of(
        strategies.lists(inner, max_size=4),
        strategies.dictionaries(strategies.text(max_size=8), inner),
    ),
    max_leaves=8,
)
_PATHOLOGICAL = strategies.sampled_from(
    [
        b'[' * 100_000,
        b'{"a":' * 50_000,
        b'[' * 900 + b']' * 900,
        b'\x91' * 1000 + b'\xc0',
        b'\x81\xa1a' * 900 + b'\xc0',
        b'9' * 6000,
        b'1e999',
        b'NaN',
    ]
)


def configure_examples() -> ty.Callable[[T], T]:
    """Return the decorator with the Hypothesis settings of a test."""
    is_fresh = EXAMPLES_VARIABLE in os.environ
    return ty.cast(
        ty.Callable[[T], T],
        hypothesis.settings(
            max_examples=int(os.environ.get(EXAMPLES_VARIABLE, EXAMPLES)),
            derandomize=not is_fresh,
            deadline=None,
            database=None,
            suppress_health_check=list(hypothesis.HealthCheck),
        ),
    )


def list_seeds() -> list[int]:
    """Return the seeds for tests that simulate whole hosts.

    Without the variable, this is one fixed seed; otherwise as many random ones
    as fit the time that the examples of the other tests take.
    """
    if EXAMPLES_VARIABLE not in os.environ:
        return [1]
    count = max(1, int(os.environ[EXAMPLES_VARIABLE]) // EXAMPLES_PER_SEED)
    return [int.from_bytes(os.urandom(4), 'big') for _ in range(count)]


@strategies.composite
def corrupt(draw: strategies.DrawFn, good: ty.Any) -> ty.Any:
    """Return a valid value that is corrupted in a few places."""
    value = copy.deepcopy(good)
    for _ in range(draw(strategies.integers(1, 3))):
        value = _corrupt_once(draw, value)
    return value


def _corrupt_once(draw: strategies.DrawFn, value: ty.Any) -> ty.Any:
    if not isinstance(value, (dict, list)) or not value:
        return draw(JSON)
    # Mostly descend, as most of the value is nested.
    if draw(strategies.integers(0, 9)) == 0:
        return draw(JSON)
    keys = list(value) if isinstance(value, dict) else range(len(value))
    key = draw(strategies.sampled_from(keys))
    if draw(strategies.integers(0, 4)) == 0:
        del value[key]
    else:
        value[key] = _corrupt_once(draw, value[key])
    return value


@strategies.composite
def corrupt_bytes(draw: strategies.DrawFn, good: bytes) -> bytes:
    """Return valid data that is truncated, changed or extended."""
    data = good
    for _ in range(draw(strategies.integers(1, 4))):
        place = draw(strategies.integers(0, len(data)))
        kind = draw(strategies.integers(0, 5))
        if kind == 0:
            data = data[:place]
        elif kind == 1:
            data = (
                data[:place]
                + draw(strategies.binary(max_size=8))
                + data[place:]
            )
        elif kind == 2:
            data = data[:place] + draw(strategies.binary(max_size=8))
        elif kind == 3:
            # A wrong length or offset.
            number = draw(
                strategies.sampled_from([0, 1, 2**16, 2**31, 2**32 - 1])
            )
            data = data[:place] + struct.pack('>I', number) + data[place + 4 :]
        elif kind == 4:
            data = data[:place] + data[place + 1 :]
        else:
            data = data[:place] + data[place // 2 :]
    return data


def generate_corrupted(good: ty.Any) -> strategies.SearchStrategy[bytes]:
    """Return a strategy for corrupted JSON of a value and random data."""
    return strategies.one_of(
        corrupt(good).map(encode_json),
        corrupt_bytes(encode_json(good)),
        JSON.map(encode_json),
        strategies.binary(max_size=200),
        _PATHOLOGICAL,
    )


def encode_json(value: ty.Any) -> bytes:
    """Return a value as JSON, with integers of any length."""
    return json.dumps(value).encode()
