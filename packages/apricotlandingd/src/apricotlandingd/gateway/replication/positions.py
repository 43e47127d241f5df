"""Positions in the platform's log, across the eras of the store.

A store that comes back from a copy has lost its newest records and gives their
offsets out again, in a new era. So an offset says which record comes first
only within one era. A position holds both in one integer that orders all
records, those of a later era after those of an earlier one. Hosts tell each
other positions, so one that the store does not answer learns of a new era as
it learns of new records.
"""

import dataclasses
import typing as ty

from apricotlandingd.gateway import dialect

__all__ = [
    'find_era',
    'find_offset',
    'make_position',
    'place_batch',
]

# Offsets below this fit beside an era in the largest integer of a message.
OFFSET_BITS: ty.Final = 40


def make_position(era: int, offset: int) -> int:
    """Return the position of an offset in an era."""
    return (era << OFFSET_BITS) + offset


def find_era(position: int) -> int:
    """Return the era of a position; 0 if the store states none."""
    return position >> OFFSET_BITS


def find_offset(position: int) -> int:
    """Return the offset of a position in its era."""
    return position & ((1 << OFFSET_BITS) - 1)


def place_batch(batch: dialect.Batch, era: int) -> dialect.Batch:
    """Return a batch of the store with positions in place of offsets."""
    return dataclasses.replace(
        batch,
        records=tuple(
            dataclasses.replace(
                record, offset=make_position(era, record.offset)
            )
            for record in batch.records
        ),
        next_offset=make_position(era, batch.next_offset),
        era=era,
    )
