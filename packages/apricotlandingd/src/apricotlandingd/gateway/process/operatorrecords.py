"""Applies the records of operators: configurations and orders of roll-outs."""

import collections.abc
import typing as ty

import eliot

from apricotlanding import ids
from apricotlandingd.gateway import catalogue
from apricotlandingd.gateway import dialect
from apricotlandingd.gateway.process import inputerrors
from apricotlandingd.gateway.relays import relaykeys
from apricotlandingd.gateway.replication import positions
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
        on_order: collections.abc.Callable[[orders.Order, float], bool],
        keys: relaykeys.RelayKeys,
        has_contention: bool = False,
    ) -> None:
        """Start without a configuration; ``keys`` gets the key of each.

        ``on_order`` returns whether an order is older than the known one.
        With ``has_contention``, figures that were ignored are logged.
        """
        self._dialect = platform_dialect
        self._input_errors = input_errors
        self._on_catalogue = on_catalogue
        self._on_order = on_order
        self._keys = keys
        self._has_contention = has_contention
        self._version: ids.Version | None = None

    def handle_record(self, record: dialect.Record, now: float) -> bool:
        """Apply the newest record of a key.

        Returns whether it states something older than what is in force.
        """
        if record.value is None:
            # What operators wrote stays in force.
            return True
        try:
            order = self._dialect.decode_order(
                record.key, record.offset, record.value
            )
            if order is not None:
                return self._on_order(order, now)
            found = self._dialect.decode_catalogue(record.value)
        except dialect.Unreadable as error:
            # The previous version or order stays in force: for callers that
            # is better than none.
            self._input_errors.report(
                inputerrors.Source.CONFIGURATION, record.key, str(error), now
            )
            return False
        if self._version is not None and found.version <= self._version:
            return found.version < self._version
        self._version = found.version
        self._report_ignored(record.key, found, now)
        self._keys.add(record.value)
        self._on_catalogue(found)
        eliot.log_message(
            'gateway:configuration',
            version=found.version,
            offset=positions.find_offset(record.offset),
        )
        return False

    def _report_ignored(
        self, key: str, found: catalogue.Catalogue, now: float
    ) -> None:
        if not self._has_contention:
            return
        for detail in found.ignored:
            self._input_errors.report(
                inputerrors.Source.CONFIGURATION, key, detail, now
            )
