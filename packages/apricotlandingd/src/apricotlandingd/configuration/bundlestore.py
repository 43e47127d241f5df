"""The configuration bundle in force.

A daemon receives bundles in two ways: from the log, which is authoritative,
and from other daemons, which forward the bundle that the log has put in force.
A record of the log is valid if its base is the version in force, its
signatures are valid and its text passes every check. Of several valid records
on one base the first in the log wins; the others are refused with an error
that names the author of the winner. The version in force never decreases,
also when records arrive late or repeatedly.
"""

import collections.abc
import typing as ty

import eliot
import expression

from apricotlanding import bundle
from apricotlanding import errors
from apricotlanding import ids
from apricotlanding import records
from apricotlanding import signatures
from apricotlandingd.pools import policies

__all__ = ['BundleStore']

OnChange = collections.abc.Callable[[bundle.Bundle], None]


@ty.final
class BundleStore:
    """Applies the bundle records of the log."""

    def __init__(self, keys: signatures.PublicKeys) -> None:
        """Create an empty store; ``keys`` are the operators' keys by name."""
        self._keys = keys
        self.record: records.BundleRecord | None = None
        self.bundle: bundle.Bundle | None = None
        # Called with each new bundle.
        self.on_change: list[OnChange] = []
        # Problems of refused bundles, by sender and sequence number of
        # their record; stored for later queries.
        self.refusals: dict[tuple[ids.Incarnation, int], errors.Problem] = {}
        self._is_partial = False
        self._first_offset = ids.Offset(0)
        self._deferred: list[tuple[ids.Offset, records.Envelope]] = []

    @property
    def version(self) -> ids.Version:
        """Return the version in force; 0 if there is none."""
        if self.record is None:
            return ids.Version(0)
        return self.record.version

    def get(self) -> bundle.Bundle | None:
        """Return the bundle in force."""
        return self.bundle

    def begin(self, first: ids.Offset) -> None:
        """Restart at offset ``first``; the version in force is kept."""
        self._first_offset = first
        self._is_partial = True
        self._deferred.clear()

    def observe(
        self, offset: ids.Offset, envelope: records.Envelope, now: float
    ) -> None:
        """Apply the next record."""
        body = envelope.body
        if isinstance(body, records.BundleRestated):
            self._apply_restated(body)
            return
        if not isinstance(body, records.BundleRecord):
            return
        if self._is_partial:
            # The records before the first one read are unknown: this record
            # may have lost to one that was removed by retention.
            self._deferred.append((offset, envelope))
            return
        self._apply_record(envelope)

    def adopt(self, record: records.BundleRecord) -> bool:
        """Apply a bundle that is in force at another daemon, if newer."""
        if record.version <= self.version:
            return False
        checked = self.check_record(record)
        if checked.is_error():
            eliot.log_message('bundle:bad-peer', problem=str(checked.error))
            return False
        self._activate(record, checked.ok)
        return True

    def check_record(
        self, record: records.BundleRecord
    ) -> expression.Result[bundle.Bundle, errors.Problem]:
        """Check signatures and text, but not the version in force."""
        mistake = signatures.describe_bad_signature(record, self._keys)
        if mistake is not None:
            return expression.Error(_refuse(mistake))
        checked = bundle.check_bundle(record.text, policies.list_names())
        if checked.is_error():
            first = checked.error[0]
            more = len(checked.error) - 1
            return expression.Error(_refuse(f'{first} (+{more} more)'))
        found = checked.ok
        stated = (found.model.version, found.model.base)
        if stated != (record.version, record.base):
            return expression.Error(
                _refuse('version or base differ between record and text')
            )
        return expression.Ok(found)

    def describe_conflict(
        self, record: records.BundleRecord
    ) -> errors.Problem | None:
        """Return why a checked record cannot be applied; None if it can."""
        if record.base != self.version:
            author = '' if self.record is None else self.record.author
            return errors.make_problem(
                errors.Kind.BUNDLE_LOST,
                version=self.version,
                author=author,
                base=record.base,
            )
        return None

    def _apply_restated(self, restated: records.BundleRestated) -> None:
        if self._is_partial and restated.as_of < self._first_offset:
            return
        self.adopt(restated.bundle)
        if not self._is_partial:
            return
        self._is_partial = False
        deferred, self._deferred = self._deferred, []
        for offset, envelope in deferred:
            if offset >= restated.as_of:
                self._apply_record(envelope)

    def _apply_record(self, envelope: records.Envelope) -> None:
        record: records.BundleRecord = envelope.body
        if record == self.record:
            return
        problem = self._try_record(record)
        if problem is None:
            return
        eliot.log_message('bundle:refused', problem=str(problem))
        self.refusals[envelope.sender, envelope.sequence] = problem

    def _try_record(
        self, record: records.BundleRecord
    ) -> errors.Problem | None:
        problem = self.describe_conflict(record)
        if problem is not None:
            return problem
        checked = self.check_record(record)
        if checked.is_error():
            return checked.error
        problem = self._check_change(checked.ok)
        if problem is not None:
            return problem
        self._activate(record, checked.ok)
        return None

    def _check_change(self, found: bundle.Bundle) -> errors.Problem | None:
        if self.bundle is None:
            return None
        before = self.bundle.ownership.claim_shards
        if found.ownership.claim_shards == before:
            return None
        # A different number of shards assigns keys to other owners, which do
        # not know the claims granted so far: a key could be granted twice.
        return _refuse(f'ownership.claim_shards must stay {before}')

    def _activate(
        self, record: records.BundleRecord, found: bundle.Bundle
    ) -> None:
        self.record = record
        self.bundle = found
        eliot.log_message(
            'bundle:in-force', version=record.version, author=record.author
        )
        for listener in self.on_change:
            listener(found)


def _refuse(detail: str) -> errors.Problem:
    return errors.make_problem(errors.Kind.BUNDLE_REFUSED, detail=detail)
