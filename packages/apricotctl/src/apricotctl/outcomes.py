"""Expected outcomes of a replay and their check.

A YAML file defines the expected results of a trace:

    goodput: {rebuild: 0.95, note: 0.5}    # at least, by route
    outcomes: {unknown: 0, cut: 0}         # at most, by outcome
    first_token_ms: {p95: 1300}            # at most
"""

import pathlib
import typing as ty

import click
import pydantic

from apricotlanding import yamlfiles

__all__ = ['Outcomes', 'check_outcomes', 'load_outcomes']


@ty.final
class Outcomes(pydantic.BaseModel):
    """Expected results of a replay."""

    model_config = pydantic.ConfigDict(extra='forbid', frozen=True)

    goodput: dict[str, float] = {}
    outcomes: dict[str, int] = {}
    first_token_ms: dict[str, float] = {}


def load_outcomes(path: pathlib.Path) -> Outcomes:
    """Read a file of outcomes; click.ClickException lists all errors."""
    loaded = yamlfiles.load_model(path.read_bytes(), Outcomes)
    if loaded.is_error():
        lines = [f'{path}: {finding}' for finding in loaded.error]
        raise click.ClickException('\n'.join(lines))
    return loaded.ok[0]


def check_outcomes(
    outcomes: Outcomes, measured: dict[str, ty.Any]
) -> list[str]:
    """Return the expectations that were not met, one line each."""
    failures: list[str] = []
    for route, minimum in outcomes.goodput.items():
        found = measured['goodput'].get(route, 0.0)
        if found < minimum:
            failures.append(f'goodput of {route}: {found}, not {minimum}')
    for outcome, maximum in outcomes.outcomes.items():
        found = measured['outcomes'].get(outcome, 0)
        if found > maximum:
            failures.append(f'{outcome}: {found}, at most {maximum}')
    for name, maximum_ms in outcomes.first_token_ms.items():
        found = measured['first_token_ms'][name]
        if found > maximum_ms:
            failures.append(
                f'first token {name}: {found} ms, not {maximum_ms}'
            )
    return failures
