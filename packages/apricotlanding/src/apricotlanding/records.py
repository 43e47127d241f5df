"""Records of the platform's log.

The log is the only arbiter: what is agreed stands in it, every daemon reads
it in the order of its offsets, and each decides alike which record is valid
(see ``shardview`` for owners and ``bundlestore`` for configuration). Records
tell of *changes* of owner and of configuration. No record is written for a
request.

Each record travels in an ``Envelope`` with its sender's incarnation and a
number that this sender counts up. An append can take effect long after its
sender gave it up; a reader therefore drops a record that arrives behind a
higher number of the same sender. A sender that does not know what became of
an append appends another, and knows once it has read that one back.
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
    """Says nothing; read back, it proves how far its sender has read."""


@registry.register(2)
@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class Take:
    """The sender makes itself the owner of a shard."""

    shard: ids.Shard
    # One more than the epoch it replaces.
    epoch: ids.Epoch
    # Who may take over after a short wait; None if nobody is there.
    successor: ids.Incarnation | None
    # The timing that binds this epoch, in seconds. It stands here and not
    # only in the bundle: an owner and the one that replaces it may have
    # different bundles in force, and must wait by the same numbers.
    lease_s: float
    outage_limit_s: float


@registry.register(3)
@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class Serving:
    """The owner has waited long enough and grants from now on."""

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
    """The sender was the owner in this epoch and will not grant again."""

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
    """An owner that was replaced and has not released its shard."""

    epoch: ids.Epoch
    owner: ids.Incarnation
    # Whose promises this owner needs; None if it needs nobody's.
    successor: ids.Incarnation | None
    lease_s: float
    outage_limit_s: float


@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class ShardState:
    """What a reader of the whole log knows of one shard."""

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
    """The bundle in force, said again before retention drops it."""

    # The sender had read every record before this offset.
    as_of: ids.Offset
    bundle: BundleRecord


@registry.register(8)
@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class OwnersRestated:
    """The owners of all shards, said again before retention drops them."""

    as_of: ids.Offset
    shards: list[ShardState]


@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class Envelope:
    """A record with its sender."""

    sender: ids.Incarnation
    # Counted up by the sender from 1, over all kinds of record.
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
    """Return the record in these bytes; Refused (BAD_FRAME) if none."""
    packed = _envelopes.decode(data)
    body = registry.unpack(packed.body)
    return Envelope(packed.sender, packed.sequence, body)
