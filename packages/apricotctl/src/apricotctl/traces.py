"""Traces of requests with their arrival times, for replays.

A trace is a file of JSON lines, one request each, in order of arrival:

    {"at_s": 0.31, "organisation": "festin", "route": "rebuild",
     "prompt_tokens": 1800, "output_tokens": 240, "prefix": "festin-3",
     "prefix_tokens": 640, "deadline_ms": 20000}

``prefix`` identifies a prompt prefix that requests share. ``key`` is optional;
without it each request gets a new key when it is sent.

``make_trace`` generates traces of the two deployments of the users' brief from
a seed: Poisson arrivals with a burst in the first third, a few large
organisations, and requests up to a hundred times longer than the shortest.
"""

import collections.abc
import dataclasses
import pathlib
import random
import typing as ty

import click
import pydantic

from apricotlanding import plainjson

__all__ = ['DEPLOYMENTS', 'TraceLine', 'make_trace', 'read_trace']


@ty.final
class TraceLine(pydantic.BaseModel):
    """One request of a trace."""

    model_config = pydantic.ConfigDict(extra='forbid', frozen=True)

    at_s: ty.Annotated[float, pydantic.Field(ge=0)]
    organisation: str
    route: str
    prompt_tokens: ty.Annotated[int, pydantic.Field(gt=0)]
    output_tokens: ty.Annotated[int, pydantic.Field(gt=0)]
    prefix: str = ''
    prefix_tokens: ty.Annotated[int, pydantic.Field(ge=0)] = 0
    deadline_ms: ty.Annotated[int, pydantic.Field(gt=0)]
    key: str | None = None

    def make_prompt(self, number: int) -> str:
        """Return a prompt of ``prompt_tokens``, made unique by ``number``."""
        shared = min(self.prefix_tokens, self.prompt_tokens)
        words = [f'{self.prefix}.{index}' for index in range(shared)]
        words += [
            f'{number}.{index}' for index in range(self.prompt_tokens - shared)
        ]
        return ' '.join(words)


@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class Shape:
    """Distribution of the requests of one route; ranges are inclusive."""

    route: str
    # Share of all requests.
    share: float
    prompt_tokens: tuple[int, int]
    output_tokens: tuple[int, int]
    # Share of the prompt that is common within an organisation.
    shared_part: float
    deadline_ms: int


@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class Workload:
    """Requests of one deployment."""

    shapes: tuple[Shape, ...]
    # Requests per second that saturate its engines with the constants of the
    # emulator (docs/design/scheduling.md).
    full_rate: float
    # Share of the requests by organisation; a few are large.
    organisations: tuple[tuple[str, float], ...]


_ORGANISATIONS: ty.Final = (
    ('org-1', 0.4),
    ('org-2', 0.3),
    ('org-3', 0.15),
    ('org-4', 0.1),
    ('org-5', 0.05),
)

DEPLOYMENTS: ty.Final[dict[str, Workload]] = {
    'festin': Workload(
        (
            Shape('rebuild', 0.15, (1200, 2400), (150, 300), 0.5, 12_000),
            Shape('briefing', 0.25, (300, 600), (40, 80), 0.5, 8_000),
            Shape('note', 0.60, (20, 60), (3, 12), 0.0, 4_000),
        ),
        36.0,
        _ORGANISATIONS,
    ),
    'ishami': Workload(
        (
            Shape('report', 0.5, (1500, 3000), (120, 240), 0.4, 20_000),
            Shape('note', 0.5, (20, 60), (3, 12), 0.0, 4_000),
        ),
        30.0,
        _ORGANISATIONS,
    ),
}
# The burst takes this share of the trace at this multiple of the mean rate.
_BURST_SHARE = 0.33
_BURST_FACTOR = 1.5


def make_trace(
    plan: Workload, seed: int, seconds: float, load: float
) -> collections.abc.Iterator[TraceLine]:
    """Generate a trace; a ``load`` of 1.0 saturates the engines."""
    rng = random.Random(seed)  # noqa: S311
    names = [name for name, _ in plan.organisations]
    weights = [weight for _, weight in plan.organisations]
    shares = [shape.share for shape in plan.shapes]
    # The rest has a lower rate, so that the mean rate is as requested.
    base_factor = (1 - _BURST_SHARE * _BURST_FACTOR) / (1 - _BURST_SHARE)
    at_s = 0.0
    while True:
        is_burst = at_s < _BURST_SHARE * seconds
        factor = _BURST_FACTOR if is_burst else base_factor
        at_s += rng.expovariate(plan.full_rate * load * factor)
        if at_s >= seconds:
            return
        shape = rng.choices(plan.shapes, shares)[0]
        organisation = rng.choices(names, weights)[0]
        prompt_tokens = rng.randint(*shape.prompt_tokens)
        yield TraceLine(
            at_s=round(at_s, 4),
            organisation=organisation,
            route=shape.route,
            prompt_tokens=prompt_tokens,
            output_tokens=rng.randint(*shape.output_tokens),
            prefix=f'{organisation}-{shape.route}-{rng.randint(1, 4)}',
            prefix_tokens=int(shape.shared_part * prompt_tokens),
            deadline_ms=shape.deadline_ms,
        )


def read_trace(path: pathlib.Path) -> list[TraceLine]:
    """Read a trace; click.ClickException lists all invalid lines."""
    lines: list[TraceLine] = []
    errors: list[str] = []
    for number, text in enumerate(path.read_text().splitlines(), 1):
        try:
            lines.append(TraceLine.model_validate(plainjson.parse(text)))
        except ValueError as error:
            first = str(error).splitlines()
            errors.append(f'{path}: line {number}: {" ".join(first[:3])}')
    if errors:
        raise click.ClickException('\n'.join(errors))
    return sorted(lines, key=lambda line: line.at_s)
