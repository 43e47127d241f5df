"""Hands the records that a host learns to the components that they concern."""

import collections.abc
import typing as ty

from apricotlanding import clocks
from apricotlandingd.gateway import dialect
from apricotlandingd.gateway.process import inputerrors
from apricotlandingd.gateway.process import operatorrecords
from apricotlandingd.gateway.process import registrations
from apricotlandingd.gateway.replication import positions
from apricotlandingd.gateway.replication import records

__all__ = ['RecordHandler']


@ty.final
class RecordHandler:
    """Observes a replica."""

    def __init__(
        self,
        operator_records: operatorrecords.OperatorRecords,
        runner_records: registrations.RegistrationHandler,
        input_errors: inputerrors.InputErrors,
        on_change: collections.abc.Callable[[float], None],
        on_new_era: collections.abc.Callable[[dialect.Topic, float], None],
    ) -> None:
        """Hand records on.

        ``on_change`` is called after each record, ``on_new_era`` before the
        first records that the store holds after it came back from a copy.
        """
        self._operator_records = operator_records
        self._runner_records = runner_records
        self._input_errors = input_errors
        self._on_change = on_change
        self._on_new_era = on_new_era

    def observe(self, replica: records.Replica) -> None:
        """Handle the records of a replica from now on."""
        replica.add_observer(self._handle_record)
        replica.on_corrupt_record = self._report_corrupt_record
        replica.on_new_era = self._handle_new_era

    def _handle_record(
        self, topic: dialect.Topic, record: dialect.Record
    ) -> bool:
        now = clocks.read_monotonic()
        if topic == dialect.CONFIG:
            is_older = self._operator_records.handle_record(record, now)
        else:
            is_older = self._runner_records.handle_record(record, now)
        self._on_change(now)
        return is_older

    def _handle_new_era(self, topic: dialect.Topic) -> None:
        self._on_new_era(topic, clocks.read_monotonic())

    def _report_corrupt_record(
        self, topic: dialect.Topic, corrupt_record: dialect.CorruptRecord
    ) -> None:
        place = ''
        if corrupt_record.offset is not None:
            offset = positions.find_offset(corrupt_record.offset)
            place = f' (offset {offset})'
        self._input_errors.report(
            inputerrors.Source.RECORD,
            topic,
            f'{corrupt_record.detail}{place}',
            clocks.read_monotonic(),
        )
