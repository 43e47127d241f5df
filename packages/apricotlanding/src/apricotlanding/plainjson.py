"""JSON of other programs: parsed without surprises, and checked by field.

Any program may have written what is read here: nested deeper than the stack
allows, with numbers that no float holds, or with fields of another type. All
of that is a ``ValueError``, so that a reader which expects this one goes on.
"""

import json
import typing as ty

import pydantic

__all__ = ['Count', 'Position', 'TooDeep', 'parse']

# Largest number of things that are counted one by one.
MAX_COUNT: ty.Final = 10**9
# Largest position in a log; 64 bits with a sign.
MAX_POSITION: ty.Final = 2**63 - 1

Count = ty.Annotated[int, pydantic.Field(ge=0, le=MAX_COUNT)]
Position = ty.Annotated[int, pydantic.Field(ge=0, le=MAX_POSITION)]


@ty.final
class TooDeep(ValueError):
    """The text is nested deeper than the stack allows; write fewer levels."""


def parse(data: bytes | str) -> ty.Any:
    """Parse a JSON text; raises ValueError, which may be TooDeep."""
    try:
        return json.loads(data)
    except RecursionError:
        # Once a bracket; a text of a few KB is nested deeper than the stack.
        raise TooDeep('nested too deep') from None
