"""Network addresses: an IP address and a port.

Host names are not accepted: they would add a resolver as a dependency that
can fail.
"""

import dataclasses
import ipaddress
import typing as ty

import pydantic

__all__ = ['Address', 'AddressField', 'parse_address']


@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class Address:
    """An IP address and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        """Return ``IP:PORT``, with brackets around an IPv6 address."""
        if ':' in self.host:
            return f'[{self.host}]:{self.port}'
        return f'{self.host}:{self.port}'


def parse_address(text: str) -> Address:
    """Parse ``IP:PORT``; raises ValueError with a hint."""
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
