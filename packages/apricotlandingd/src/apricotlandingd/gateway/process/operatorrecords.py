"""Applies the records of operators: configurations and orders of roll-outs."""

import collections.abc
import typing as ty

import eliot

from apricotlanding import ids
from apricotlandingd.gateway import catalogue
from apricotlandingd.gateway import dialect
from apricotlandingd.gateway.process import inputerrors
from apricotlandingd.gateway.rollouts import orders

__all__ = ['OperatorRecords']


@ty.final
class OperatorRecords:
    """Decodes the records, and hands on what is new."""

    def __init__(
        self,
        platform_dialect: dialect.Dialect,
        input_errors: inputerrors.InputErrors,
        on_catalogue: collections.abc.Callable[[catalogue.Catalogue], None],
        on_order: collections.abc.Callable[[orders.Order, float], None],
    ) -> None:
        """Start without a configuration."""
        self._dialect = platform_dialect
        self._input_errors = input_errors
        self._on_catalogue = on_catalogue
        self._on_order = on_order
        self._version: ids.Version | None = None

    def handle_record(self, record: dialect.Record, now: float) -> None:
        """Apply the newest record of a key."""
        if record.value is None:
            return
        try:
            order = self._dialect.decode_order(
                record.key, record.offset, record.value
            )
            if order is not None:
                self._on_order(order, now)
                return
            found = self._dialect.decode_catalogue(record.value)
        except dialect.Unreadable as error:
            # The previous version or order stays in force: for callers that
            # is better than none.
            self._input_errors.report(
                inputerrors.Source.CONFIGURATION, record.key, str(error), now
            )
            return
        if self._version is not None and found.version <= self._version:
            return
        self._version = found.version
        self._on_catalogue(found)
        eliot.log_message(
            'gateway:configuration',
            version=found.version,
            offset=record.offset,
        )
