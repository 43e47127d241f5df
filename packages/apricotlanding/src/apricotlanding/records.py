"""Records of the platform's log.

The log is the single source of truth for agreed state: every daemon reads it
in offset order, and all apply the same rules to decide which records are valid
(see ``shardview`` for owners and ``bundlestore`` for configuration). Records
describe *changes* of owner and of configuration. No record is written for a
request.

Each record is sent in an ``Envelope`` with the incarnation of its sender and a
sequence number. An append can take effect long after it timed out at the
sender; readers therefore drop a record that follows one with a higher sequence
number from the same sender. A sender that does not know the result of an
append appends another record, and knows the result once it has read that
record back.
"""

import dataclasses
import typing as ty

from apricotlanding import codec
from apricotlanding import ids

__all__ = [
    'BundleRecord',
    'BundleRestated',
    'Envelope',
    'Mark',
    'NameSuccessor',
    'OwnersRestated',
    'PastEpoch',
    'Release',
    'Serving',
    'ShardState',
    'Take',
    'registry',
]

registry = codec.Registry('record')


@registry.register(1)
@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class Mark:
    """A marker without content; reading it back proves the read position."""


@registry.register(2)
@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class Take:
    """The sender becomes the owner of a shard."""

    shard: ids.Shard
    # One more than the epoch it replaces.
    epoch: ids.Epoch
    # Who may take over after a short wait; None if there is no candidate.
    successor: ids.Incarnation | None
    # The timing of this epoch, in seconds. It is part of the record because
    # an owner and its replacement may have different bundles in force and
    # must wait for the same times.
    lease_s: float
    outage_limit_s: float


@registry.register(3)
@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class Serving:
    """The owner has finished waiting and grants from now on."""

    shard: ids.Shard
    epoch: ids.Epoch


@registry.register(4)
@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class NameSuccessor:
    """The owner replaces its successor."""

    shard: ids.Shard
    epoch: ids.Epoch
    successor: ids.Incarnation | None


@registry.register(5)
@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class Release:
    """The sender was the owner in this epoch and grants nothing more."""

    shard: ids.Shard
    epoch: ids.Epoch


@registry.register(6)
@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class BundleRecord:
    """A signed bundle, valid if its base is the version in force."""

    version: ids.Version
    base: ids.Version
    author: str
    approver: str
    # YAML, byte for byte as it was signed.
    text: bytes
    author_signature: bytes
    approver_signature: bytes


@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class PastEpoch:
    """A replaced owner that has not released its shard."""

    epoch: ids.Epoch
    owner: ids.Incarnation
    # Whose promises this owner needs; None if it needs none.
    successor: ids.Incarnation | None
    lease_s: float
    outage_limit_s: float


@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class ShardState:
    """State of one shard after reading the whole log."""

    shard: ids.Shard
    epoch: ids.Epoch
    owner: ids.Incarnation
    successor: ids.Incarnation | None
    lease_s: float
    outage_limit_s: float
    is_serving: bool
    is_released: bool
    # Earlier epochs whose owner may still grant, oldest first.
    unsettled: list[PastEpoch]


@registry.register(7)
@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class BundleRestated:
    """The bundle in force, repeated before retention drops its record."""

    # The sender had read every record before this offset.
    as_of: ids.Offset
    bundle: BundleRecord


@registry.register(8)
@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class OwnersRestated:
    """The owners of all shards, repeated before retention drops them."""

    as_of: ids.Offset
    shards: list[ShardState]


@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class Envelope:
    """A record with its sender."""

    sender: ids.Incarnation
    # Incremented by the sender, from 1, over all types of record.
    sequence: int
    body: ty.Any

    def encode(self) -> bytes:
        """Return the bytes to append."""
        packed = registry.pack(self.body)
        return _envelopes.encode(_Packed(self.sender, self.sequence, packed))


@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class _Packed:
    sender: ids.Incarnation
    sequence: int
    body: list[ty.Any]


_envelopes = codec.Registry('envelope')
_envelopes.register(1)(_Packed)


def decode_envelope(data: bytes) -> Envelope:
    """Decode a record; raises Refused (BAD_FRAME) if it is invalid."""
    packed = _envelopes.decode(data)
    body = registry.unpack(packed.body)
    return Envelope(packed.sender, packed.sequence, body)
