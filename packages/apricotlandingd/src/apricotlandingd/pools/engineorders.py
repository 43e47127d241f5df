"""Orders to engines: what they load and which role they take.

The bundle declares the state of each runner; the owner of its pool orders it
there, with the pool's epoch as fencing number. Orders say what the state is
to be, never what to change, so that one may be repeated.

An engine that checks fencing numbers refuses the order of an owner that was
replaced. For one that does not check, two things help. The owner serves only
after every earlier owner's right has ended, and checks its own right before
each order; so a late order can come only from a process that was stopped
between that check and the sending. And the owner repeats its orders: whatever
a late one has changed is put right within ``ORDER_REPEAT_INTERVAL_S``.
"""

import typing as ty

import anyio
import eliot

from apricotlanding import bundle
from apricotlanding import clocks
from apricotlanding import webclient
from apricotlandingd.ownership import leases

__all__ = ['reconcile_runner']

# Seconds between orders to an engine that does not check fencing numbers,
# and between looks at what is declared.
ORDER_REPEAT_INTERVAL_S = 3.0
ORDER_CHECK_INTERVAL_S = 0.5
_ORDER_TIMEOUT_S = 2.0

DeclaredState = tuple[str | None, str | None]


class ConfiguredRunner(ty.Protocol):
    """A runner as far as orders are concerned."""

    model: bundle.RunnerModel


async def reconcile_runner(
    runner: ConfiguredRunner, lease: leases.Lease, client: webclient.WebClient
) -> None:
    """Order a runner to its declared state, until cancelled."""
    applied: DeclaredState | None = None
    applied_at = float('-inf')
    while True:
        model = runner.model
        declared = (model.load, model.role)
        now = clocks.read_monotonic()
        is_due = not model.checks_fencing and now >= (
            applied_at + ORDER_REPEAT_INTERVAL_S
        )
        if declared != (None, None) and (declared != applied or is_due):
            if lease.is_valid(now) and await _send_order(model, lease, client):
                applied = declared
                applied_at = now
        await anyio.sleep(ORDER_CHECK_INTERVAL_S)


async def _send_order(
    model: bundle.RunnerModel,
    lease: leases.Lease,
    client: webclient.WebClient,
) -> bool:
    order = {'epoch': lease.epoch, 'load': model.load, 'role': model.role}
    try:
        status, _ = await client.call_json(
            'POST', '/v1/orders', order, read_timeout=_ORDER_TIMEOUT_S
        )
    except webclient.WebError as error:
        eliot.log_message('order:failed', runner=model.name, error=str(error))
        return False
    if status != 200:
        # 409: a newer owner has given orders, and ours are void.
        eliot.log_message('order:refused', runner=model.name, status=status)
    return status == 200
