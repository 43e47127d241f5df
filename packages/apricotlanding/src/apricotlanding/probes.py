"""Probes that show whether a process listens at an address."""

import anyio

from apricotlanding import addresses
from apricotlanding import cuts
from apricotlanding import dialing

__all__ = ['probe_address']

CONNECT_TIMEOUT_S = 0.5


async def probe_address(
    address: addresses.Address, dial: dialing.Dial = dialing.dial_address
) -> cuts.Liveness:
    """Connect once, and send nothing."""
    try:
        with anyio.fail_after(CONNECT_TIMEOUT_S):
            stream = await dial(address)
            await stream.aclose()
    except TimeoutError:
        return cuts.Liveness.SILENT
    except OSError as error:
        # The error of the only attempt is the cause.
        if isinstance(error.__cause__, ConnectionRefusedError):
            return cuts.Liveness.REFUSES
        return cuts.Liveness.SILENT
    return cuts.Liveness.ACCEPTS
