"""Copies of the objects that decisions are made from and change.

A decision counts requests, refills buckets, draws random numbers and wakes the
requests that it is about. On a copy of its state it does the same and has no
effect. Unlike ``copy.deepcopy``, this stops at what reaches out of the
decisions, such as sockets, and fails on a type that it does not know: an
object that a copy shares by mistake would be changed.
"""

import collections
import collections.abc
import enum
import functools
import operator
import random
import types
import typing as ty

import anyio

from apricotlanding import addresses
from apricotlandingd.gateway import catalogue
from apricotlandingd.gateway import dialect

__all__ = ['StateCopier', 'Uncopyable']

# Their classes hold the state of decisions.
COPIED_PACKAGES = (
    'apricotlandingd.gateway.decisions.',
    'apricotlandingd.gateway.hosts.',
    'apricotlandingd.gateway.rollouts.',
    'apricotlandingd.gateway.runners.',
)
# Values that never change. Functions are among them: those that decisions are
# given only read.
SHARED_TYPES = (
    bool,
    bytes,
    enum.Enum,
    float,
    frozenset,
    functools.partial,
    int,
    str,
    type,
    type(None),
    types.BuiltinFunctionType,
    types.FunctionType,
    addresses.Address,
    catalogue.Organisation,
    catalogue.Route,
    dialect.RunnerEntry,
)

# Stands for an attribute that an object does not have.
_UNSET: ty.Final = object()

_Value = ty.TypeVar('_Value')


class Uncopyable(TypeError):
    """A state holds an object of a type that cannot be copied."""


@ty.final
class StateCopier:
    """Copies objects; what they have in common, their copies have too."""

    def __init__(
        self, replaced: collections.abc.Iterable[tuple[object, object]]
    ) -> None:
        """Start without copies.

        ``replaced`` are pairs of an object and what copies hold in its place;
        a pair of the same object twice shares it.
        """
        self._copies: dict[int, ty.Any] = {}
        # Types found to be shared or not, and the slots of copied classes.
        self._shared: set[type] = set()
        self._unshared: set[type] = set()
        self._slots: dict[type, tuple[str, ...]] = {}
        # Keeps the identities above from being used again.
        self._originals: list[object] = []
        for original, replacement in replaced:
            self._remember(original, replacement)

    def copy(self, value: _Value) -> _Value:
        """Return a copy of a value; raises Uncopyable."""
        kind = type(value)
        if kind in self._shared:
            return value
        if kind not in self._unshared:
            if isinstance(value, SHARED_TYPES):
                self._shared.add(kind)
                return value
            self._unshared.add(kind)
        known = self._copies.get(id(value))
        if known is not None:
            return ty.cast(_Value, known)
        return ty.cast(_Value, self._copy(value))

    def _remember(self, original: object, copied: object) -> None:
        self._originals.append(original)
        self._copies[id(original)] = copied

    def _copy(self, value: ty.Any) -> ty.Any:
        if type(value) in self._slots:
            return self._copy_object(value)
        if isinstance(value, tuple):
            return self._copy_tuple(value)
        if isinstance(value, types.MethodType):
            return self._copy_method(value)
        if isinstance(value, dict):
            return self._copy_dict(value)
        if isinstance(value, (list, collections.deque)):
            return self._copy_sequence(value)
        if isinstance(value, set):
            # Elements are hashable, and do not change.
            found: ty.Any = set(value)
        elif isinstance(value, random.Random):
            found = random.Random()  # noqa: S311
            found.setstate(value.getstate())
        elif isinstance(value, anyio.Event):
            # Not shared, as it would wake who waits for the original.
            found = anyio.Event()
            if value.is_set():
                found.set()
        elif _is_copied(type(value)):
            return self._copy_object(value)
        else:
            raise Uncopyable(f'cannot copy a {type(value).__qualname__}')
        self._remember(value, found)
        return found

    def _copy_tuple(self, value: tuple[ty.Any, ...]) -> tuple[ty.Any, ...]:
        if self._shared.issuperset(map(type, value)):
            return value
        items = [self.copy(item) for item in value]
        if all(map(operator.is_, items, value)):
            return value
        if hasattr(value, '_make'):
            return ty.cast(tuple[ty.Any, ...], value._make(items))
        return tuple(items)

    def _copy_method(self, value: types.MethodType) -> types.MethodType:
        owner = value.__self__
        if id(owner) not in self._copies and not _is_copied(type(owner)):
            # Of a component that decisions ask.
            return value
        return types.MethodType(value.__func__, self.copy(owner))

    def _copy_dict(self, value: dict[ty.Any, ty.Any]) -> ty.Any:
        found = type(value)()
        if isinstance(found, collections.defaultdict):
            found.default_factory = value.default_factory  # type: ignore
        self._remember(value, found)
        # Keys are hashable, and do not change.
        if self._shared.issuperset(map(type, value.values())):
            found.update(value)
            return found
        for key, item in value.items():
            found[key] = self.copy(item)
        return found

    def _copy_sequence(self, value: ty.Any) -> ty.Any:
        found: list[ty.Any] | collections.deque[ty.Any] = []
        if isinstance(value, collections.deque):
            found = collections.deque(maxlen=value.maxlen)
        self._remember(value, found)
        found.extend(self.copy(item) for item in value)
        return found

    def _copy_object(self, value: ty.Any) -> ty.Any:
        found = object.__new__(type(value))
        self._remember(value, found)
        slots = self._slots.get(type(value))
        if slots is None:
            slots = self._slots[type(value)] = _list_slots(type(value))
        for name in slots:
            item = getattr(value, name, _UNSET)
            if item is not _UNSET:
                # Frozen classes do not set their attributes otherwise.
                object.__setattr__(found, name, self.copy(item))
        for name, item in getattr(value, '__dict__', {}).items():
            object.__setattr__(found, name, self.copy(item))
        return found


def _is_copied(kind: type) -> bool:
    return kind.__module__.startswith(COPIED_PACKAGES)


def _list_slots(kind: type) -> tuple[str, ...]:
    return tuple(
        name
        for base in kind.__mro__
        for name in getattr(base, '__slots__', ())
        if not name.startswith('__')
    )
