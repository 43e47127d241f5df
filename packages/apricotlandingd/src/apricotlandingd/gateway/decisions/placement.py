"""Which runner a request goes to.

Among the runners with a free place, the one that is expected to finish the
request first, by its learned speed, by what it keeps of the prompt and by
how full it is. Runners that fail are used only if no other has a place.
"""

import dataclasses
import typing as ty

import xxhash

from apricotlanding import ids
from apricotlandingd.gateway.decisions import waiting
from apricotlandingd.gateway.runners import pace

__all__ = ['Option', 'choose_runner']

# Part by which a full runner generates slower than one with a single request.
FULL_SLOWDOWN = 0.25
# Part of the time to read the prompt by which the runner that a prompt's last
# part belongs to is preferred, before it is known to keep the part. All hosts
# compute the same runner, so they share its cache without a message. The last
# part is its session's, or the request's own; then the home is one drawn for
# each request, and that has a worth of its own: hosts that decide at the same
# moment do not all choose the best runner, where prompts wait to be read one
# after the other. Small enough that speed and load go first.
HOME_PREFERENCE = 0.5


@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class Option:
    """A runner with a free place."""

    runner: ids.RunnerStart
    # Places taken and in all.
    used: int
    slots: int
    pace: pace.Pace
    is_avoided: bool
    # This host sent the prompt's last part there a short time ago.
    has_part: bool


def choose_runner(
    ticket: waiting.Ticket, options: list[Option]
) -> Option | None:
    """Return the best runner; None if there is no option."""
    open_options = [
        option for option in options if option.runner not in ticket.tried
    ]
    if not open_options:
        return None
    sound = [option for option in open_options if not option.is_avoided]
    if ticket.last_part:
        home = max(
            open_options,
            key=lambda option: _rate_home(ticket.last_part, option.runner),
        ).runner
    else:
        home = None
    return min(
        sound or open_options,
        key=lambda option: _predict(ticket, option, option.runner == home),
    )


def _predict(ticket: waiting.Ticket, option: Option, is_home: bool) -> float:
    read = option.pace.read_s * ticket.prompt_tokens
    saved = 0.0
    if option.has_part:
        saved = read
    elif is_home:
        saved = read * HOME_PREFERENCE
    load = 1 + FULL_SLOWDOWN * option.used / option.slots
    rest = option.pace.write_s * ticket.events
    return option.pace.start_s + read - saved + rest * load


def _rate_home(part: str, start: ids.RunnerStart) -> int:
    # By the registered id: the homes of other runners' parts stay as they are
    # when one of them starts again.
    runner = ids.parse_runner(start)
    return xxhash.xxh3_64_intdigest(f'{part} {runner}'.encode())
