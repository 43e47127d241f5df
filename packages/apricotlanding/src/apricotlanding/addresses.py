"""Network addresses by IP number.

Our hosts reach each other by IP number only; a name in a file would need a
resolver, which is one more thing that can be down.
"""

import dataclasses
import ipaddress
import typing as ty

import pydantic

__all__ = ['Address', 'AddressField', 'parse_address']


@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class Address:
    """An IP number and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        """Return ``IP:PORT``, with brackets around an IPv6 number."""
        if ':' in self.host:
            return f'[{self.host}]:{self.port}'
        return f'{self.host}:{self.port}'


def parse_address(text: str) -> Address:
    """Return the address in ``IP:PORT``; ValueError with the remedy."""
    host, colon, port = text.rpartition(':')
    if not colon or not port.isdecimal() or not 0 <= int(port) < 65536:
        raise ValueError('write IP:PORT, such as 10.0.0.1:7000')
    host = host.removeprefix('[').removesuffix(']')
    try:
        ipaddress.ip_address(host)
    except ValueError:
        raise ValueError('write an IP number, not a name') from None
    return Address(host, int(port))


def _check_address(value: ty.Any) -> Address:
    if isinstance(value, Address):
        return value
    if not isinstance(value, str):
        raise ValueError('write IP:PORT, such as 10.0.0.1:7000')
    return parse_address(value)


AddressField = ty.Annotated[Address, pydantic.BeforeValidator(_check_address)]
