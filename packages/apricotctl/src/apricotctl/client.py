"""Calls to a daemon's operator listener."""

import typing as ty

import anyio
import click

from apricotlanding import addresses
from apricotlanding import plainjson
from apricotlanding import webclient

__all__ = ['call_daemon']

_TIMEOUT_S = 20.0


def call_daemon(
    address: str, token: str, method: str, path: str, body: bytes = b''
) -> ty.Any:
    """Return a daemon's JSON response.

    Raises click.ClickException with code and remedy on any error.
    """
    try:
        parsed = addresses.parse_address(address)
    except ValueError as error:
        raise click.ClickException(f'--daemon {address}: {error}') from error
    return anyio.run(_call, parsed, token, method, path, body)


async def _call(
    address: addresses.Address,
    token: str,
    method: str,
    path: str,
    body: bytes,
) -> ty.Any:
    client = webclient.WebClient(address)
    headers: list[tuple[bytes, bytes]] = []
    if token:
        # A gateway asks for none.
        headers.append((b'authorization', b'Bearer ' + token.encode()))
    try:
        status, data = await client.call(
            method, path, headers, body, _TIMEOUT_S
        )
        value = plainjson.parse(data)
    except webclient.NotSent as error:
        raise click.ClickException(
            f'cannot connect to a daemon at {address}; start it or choose'
            ' another one with --daemon'
        ) from error
    except (webclient.WebError, ValueError) as error:
        raise click.ClickException(
            f'the call to the daemon at {address} failed: {error}; check with'
            ' "apricotctl status" what it did before you retry'
        ) from error
    finally:
        await client.close()
    if status != 200:
        raise click.ClickException(
            f'{value["code"]}: {value["error"]}; {value["remedy"]}'
        )
    return value
