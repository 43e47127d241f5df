"""Parts that the tests of the gateway's decisions are made of."""

from apricotlanding import addresses
from apricotlanding import ids
from apricotlandingd.gateway import catalogue
from apricotlandingd.gateway import dialect

__all__ = ['POOL', 'make_entry', 'make_organisation']

POOL = ids.Pool('pool')


def make_entry(
    name: str, slots: int = 2, is_draining: bool = False
) -> dialect.RunnerEntry:
    """Return a runner of the pool."""
    return dialect.RunnerEntry(
        id=ids.Runner(name),
        service=POOL,
        address=addresses.Address('127.0.0.1', 1),
        domain=ids.Domain('d1'),
        slots=slots,
        is_draining=is_draining,
    )


def make_organisation(units: float) -> catalogue.Organisation:
    """Return an organisation with so many units a second, and at once."""
    return catalogue.Organisation(
        name=ids.Organisation('festin'),
        keys=frozenset(),
        tier=None,
        units_per_s=units,
        burst_units=units,
        counts_tokens=True,
        default_tokens=10.0,
    )
