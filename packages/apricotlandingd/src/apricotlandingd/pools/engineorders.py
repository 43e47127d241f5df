"""Sends orders to engines: what to load and which role to take.

The bundle declares the state of each runner. The owner of the pool orders the
runner to that state, with the pool's epoch as fencing number. Orders name the
target state and never a change, so they are idempotent.

An engine that checks fencing numbers rejects the orders of an owner that was
replaced. For engines that do not check there are two safeguards. The owner
serves only after the leases of all earlier owners have ended, and checks its
own lease before each order; so a late order can only come from a process that
was suspended between that check and the sending. And the owner repeats its
orders, which corrects the effect of a late one within
``ORDER_REPEAT_INTERVAL_S``.
"""

import typing as ty

import anyio
import eliot

from apricotlanding import bundle
from apricotlanding import clocks
from apricotlanding import webclient
from apricotlandingd.ownership import leases

__all__ = ['reconcile_runner']

# Intervals of orders to an engine that does not check fencing numbers, and of
# checks of the declared state.
ORDER_REPEAT_INTERVAL_S = 3.0
ORDER_CHECK_INTERVAL_S = 0.5
_ORDER_TIMEOUT_S = 2.0

DeclaredState = tuple[str | None, str | None]


class ConfiguredRunner(ty.Protocol):
    """A runner with its present model in the bundle."""

    model: bundle.RunnerModel


async def reconcile_runner(
    runner: ConfiguredRunner, lease: leases.Lease, client: webclient.WebClient
) -> None:
    """Keep a runner in its declared state until cancelled."""
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
        # 409: a newer owner has sent orders, and ours are rejected.
        eliot.log_message('order:refused', runner=model.name, status=status)
    return status == 200
