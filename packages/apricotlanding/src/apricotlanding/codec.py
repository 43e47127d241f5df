"""Encoding and decoding of typed messages with msgpack.

``wire`` and ``records`` declare small frozen dataclasses and register each
under a number with a ``Registry``. A message is encoded as the msgpack array
``[number, field, field, ...]`` in the order of the declaration. Decoding
validates the array with pydantic, so that malformed data from a peer or the
log is rejected here and does not reach other code. Trailing fields that have a
default may be missing, so that daemons of different versions can communicate.

    registry = Registry('peer message')

    @registry.register(7)
    @dataclasses.dataclass(frozen=True, slots=True)
    class Ping:
        sent_at: float

    registry.decode(registry.encode(Ping(1.0))) == Ping(1.0)
"""

import collections.abc
import dataclasses
import enum
import reprlib
import struct
import typing as ty

import msgpack
import pydantic

from apricotlanding import errors

__all__ = ['Registry']

# Longest error detail. It quotes parts of the message, which an untrusted
# peer can make as long as a frame.
DETAIL_LIMIT_CHARS: ty.Final = 200

# Byte strings from this length on are not copied by ``pack_parts``.
LARGE_BYTES: ty.Final = 128 * 1024
# Type and length of a msgpack byte string with a length of 32 bits.
_LARGE_HEADER: ty.Final = struct.Struct('>BI')
_LARGE_TYPE: ty.Final = 0xC6

T = ty.TypeVar('T')


@ty.final
class Registry:
    """Message types by number."""

    def __init__(self, name: str) -> None:
        """Create an empty registry; the name is used in errors."""
        self.name = name
        self._adapters: dict[int, pydantic.TypeAdapter[ty.Any]] = {}
        self._fields: dict[int, list[str]] = {}
        self._numbers: dict[type, int] = {}
        # Defaults of the trailing fields that may be left out, by number.
        self._omitted: dict[int, dict[str, ty.Any]] = {}

    def register(
        self, number: int, omits_defaults: bool = False
    ) -> collections.abc.Callable[[type[T]], type[T]]:
        """Return a decorator that registers a dataclass under a number.

        With ``omits_defaults``, trailing fields that have their default are
        not encoded, so that daemons without these fields accept the message.
        """

        def register_type(cls: type[T]) -> type[T]:
            if number in self._adapters:
                raise ValueError(f'{self.name} {number} is already registered')
            fields = dataclasses.fields(cls)  # type: ignore[arg-type]
            self._adapters[number] = pydantic.TypeAdapter(cls)
            self._fields[number] = [field.name for field in fields]
            self._numbers[cls] = number
            if omits_defaults:
                self._omitted[number] = _find_defaults(cls)
            return cls

        return register_type

    def pack(self, message: object) -> list[ty.Any]:
        """Convert a message to an array."""
        number = self._numbers[type(message)]
        names = self._fields[number]
        adapter = self._adapters[number]
        fields = adapter.dump_python(message)
        omitted = self._omitted.get(number, {})
        count = len(names)
        while count and names[count - 1] in omitted:
            name = names[count - 1]
            if fields[name] != omitted[name]:
                break
            count -= 1
        return [number, *(fields[name] for name in names[:count])]

    def unpack(self, array: ty.Any) -> ty.Any:
        """Convert an array to a message.

        Raises Refused (BAD_FRAME) if the array is not a valid message.
        """
        if not isinstance(array, list) or not array:
            raise self._make_error('not an array')
        number = array[0]
        if not isinstance(number, int) or number not in self._adapters:
            # reprlib also limits the depth: repr of a deeply nested list
            # raises RecursionError.
            raise self._make_error(
                f'unknown {self.name} {reprlib.repr(number)}'
            )
        names = self._fields[number]
        if len(array) - 1 > len(names):
            raise self._make_error(f'too many fields for {self.name} {number}')
        fields = dict(zip(names, array[1:], strict=False))
        try:
            return self._adapters[number].validate_python(fields)
        except pydantic.ValidationError as error:
            first = error.errors(include_url=False)[0]
            location = '.'.join(str(part) for part in first['loc'])
            raise self._make_error(f'{location}: {first["msg"]}') from error

    def encode(self, message: object) -> bytes:
        """Encode a message as msgpack."""
        return pack_data(self.pack(message))

    def decode(self, data: bytes) -> ty.Any:
        """Decode a message; raises Refused (BAD_FRAME) if it is invalid."""
        return self.unpack(unpack_data(data))

    def _make_error(self, detail: str) -> errors.Refused:
        return make_frame_error(detail)


def _find_defaults(cls: type) -> dict[str, ty.Any]:
    found: dict[str, ty.Any] = {}
    for field in dataclasses.fields(cls):
        if field.default is not dataclasses.MISSING:
            found[field.name] = field.default
        elif field.default_factory is not dataclasses.MISSING:
            found[field.name] = field.default_factory()
    return found


def pack_data(value: ty.Any) -> bytes:
    """Encode a plain value as msgpack; enums are encoded by value."""
    return ty.cast(bytes, msgpack.packb(value, default=_convert_enum))


def pack_parts(value: ty.Any) -> list[bytes]:
    """Encode a value like ``pack_data``, as parts that follow each other.

    Large byte strings of an array are parts themselves, so that they are not
    copied.
    """
    if not isinstance(value, list):
        return [pack_data(value)]
    packer = msgpack.Packer(default=_convert_enum)
    parts: list[bytes] = []
    small = [packer.pack_array_header(len(value))]
    for item in value:
        if not isinstance(item, bytes) or len(item) < LARGE_BYTES:
            small.append(packer.pack(item))
            continue
        small.append(_LARGE_HEADER.pack(_LARGE_TYPE, len(item)))
        parts += [b''.join(small), item]
        small = []
    parts.append(b''.join(small))
    return parts


def _convert_enum(value: ty.Any) -> ty.Any:
    if isinstance(value, enum.Enum):
        return value.value
    raise TypeError(f'{type(value).__name__} cannot be sent')


def unpack_data(data: bytes) -> ty.Any:
    """Decode msgpack data; raises Refused (BAD_FRAME) if it is invalid."""
    try:
        return msgpack.unpackb(data, strict_map_key=False)
    except (
        ValueError,
        # Raised for a list or a map as the key of a map.
        TypeError,
        msgpack.UnpackException,
    ) as error:
        raise make_frame_error(f'not msgpack ({error})') from error


def make_frame_error(detail: str) -> errors.Refused:
    """Return the error for data that cannot be decoded."""
    short = detail[:DETAIL_LIMIT_CHARS]
    return errors.Refused(
        errors.make_problem(errors.Kind.BAD_FRAME, detail=short)
    )
