"""Requests that crash the runners which run them.

When a runner crashes, every request that it was running is blamed. A request
that is blamed for several crashes is put in quarantine: it is not sent to a
runner any more, whoever sends it again. A request that only ran beside the
crashes is cleared when a runner completes it, so requests that are sent often
are blamed for few crashes at a time.

All hosts share the blame as rows, one for each pair of a request's content
and a crash. A row is added once and cleared at most once, so rows may arrive
late, repeatedly, and in any order.

A request that shares the crashes of another one may be harmless. It is
contested: a few trials decide, of which ``Trials`` grants one on a host. Few
hosts may run one, so that all together send the request few times more.
"""

import collections.abc
import dataclasses
import heapq
import random
import typing as ty

from apricotlanding import ids

__all__ = ['CRASH_LIMIT', 'Blame', 'Quarantine', 'Trials', 'Verdict']

# Crashes after which a request is in quarantine.
CRASH_LIMIT = 3
# Seconds for which a request is blamed after its latest crash.
RETENTION_S = 3600.0
# Requests, and crashes of one request, that are kept.
MAX_CONTENTS = 1024
MAX_CRASHES = 16
# Rows of one request in the list for another host: enough for the quarantine.
MAX_SENT_CRASHES = CRASH_LIMIT + 1


class Blame(ty.NamedTuple):
    """A request that was in progress at a runner when it crashed."""

    key: ids.ContentKey
    crash: ids.Crash
    # The host that reported it first.
    host: ids.Host
    # A runner has completed a request with this content since.
    is_cleared: bool
    # Seconds since the crash.
    age_s: int


@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class Verdict:
    """Why a request is in quarantine."""

    # The crashes that it is blamed for.
    blames: tuple[Blame, ...]
    # Another request shares so many of the crashes that either may be the
    # cause.
    is_contested: bool
    # Seconds until it leaves the quarantine.
    left_s: float


@ty.final
@dataclasses.dataclass(slots=True)
class _Row:
    host: ids.Host
    at: float
    is_cleared: bool = False


@ty.final
@dataclasses.dataclass(slots=True)
class _Content:
    rows: dict[ids.Crash, _Row] = dataclasses.field(default_factory=dict)

    def count_crashes(self) -> int:
        return sum(not row.is_cleared for row in self.rows.values())

    def list_crashes(self) -> set[ids.Crash]:
        return {
            crash for crash, row in self.rows.items() if not row.is_cleared
        }

    def find_latest(self) -> float:
        return max(row.at for row in self.rows.values())


@ty.final
class Quarantine:
    """Blame for crashes, by content key."""

    def __init__(self, host: ids.Host) -> None:
        """Start without crashes; ``host`` is named in this host's rows."""
        self._host = host
        self._contents: dict[ids.ContentKey, _Content] = {}

    def is_empty(self) -> bool:
        """Tell whether no request is blamed."""
        return not self._contents

    def count_contents(self) -> int:
        """Return the number of requests that are blamed."""
        return len(self._contents)

    def list_quarantined(self) -> list[ids.ContentKey]:
        """Return the requests in quarantine."""
        return [
            key
            for key, content in self._contents.items()
            if content.count_crashes() >= CRASH_LIMIT
        ]

    def find(self, key: ids.ContentKey, now: float) -> Verdict | None:
        """Return why a request is in quarantine; None if it is not."""
        content = self._contents.get(key)
        if content is None or content.count_crashes() < CRASH_LIMIT:
            return None
        left_s = content.find_latest() + RETENTION_S - now
        if left_s <= 0:
            return None
        return Verdict(
            blames=tuple(
                blame
                for blame in _write_rows(key, content, now)
                if not blame.is_cleared
            ),
            is_contested=bool(self.list_rivals(key)),
            left_s=left_s,
        )

    def record_crash(
        self, crash: ids.Crash, keys: set[ids.ContentKey], now: float
    ) -> list[Blame]:
        """Blame the requests in progress for a crash; return the new rows."""
        blames = [
            Blame(key, crash, self._host, is_cleared=False, age_s=0)
            for key in sorted(keys)
        ]
        return self.merge(blames, now)

    def record_completion(
        self, key: ids.ContentKey, now: float
    ) -> list[Blame]:
        """Clear a request that a runner completed; return the changed rows."""
        content = self._contents.get(key)
        if content is None or content.count_crashes() == 0:
            return []
        changed = content.list_crashes()
        for crash in changed:
            content.rows[crash].is_cleared = True
        return [
            blame
            for blame in _write_rows(key, content, now)
            if blame.crash in changed
        ]

    def merge(
        self, blames: collections.abc.Iterable[Blame], now: float
    ) -> list[Blame]:
        """Apply rows of another host; return those that changed something."""
        changed = [blame for blame in blames if self._apply(blame, now)]
        self._shrink()
        return changed

    def list_rows(
        self, limit: int, rng: random.Random, now: float
    ) -> list[Blame]:
        """Return rows for another host, those of the quarantine first."""
        contents = list(self._contents.items())
        rng.shuffle(contents)
        contents.sort(key=_is_below_limit)
        rows: list[Blame] = []
        for key, content in contents:
            if len(rows) >= limit:
                break
            found = _write_rows(key, content, now)
            rng.shuffle(found)
            found.sort(key=_is_cleared)
            rows.extend(found[:MAX_SENT_CRASHES])
        return rows[:limit]

    def expire(self, now: float) -> None:
        """Drop requests whose latest crash is too long ago."""
        for key, content in list(self._contents.items()):
            if now - content.find_latest() >= RETENTION_S:
                del self._contents[key]

    def _apply(self, blame: Blame, now: float) -> bool:
        at = now - max(0, blame.age_s)
        if blame.age_s >= RETENTION_S:
            return False
        content = self._contents.setdefault(blame.key, _Content())
        row = content.rows.get(blame.crash)
        if row is None:
            content.rows[blame.crash] = _Row(blame.host, at, blame.is_cleared)
            self._drop_oldest(content)
            return blame.crash in content.rows
        if row.is_cleared or not blame.is_cleared:
            return False
        row.is_cleared = True
        return True

    def _drop_oldest(self, content: _Content) -> None:
        if len(content.rows) <= MAX_CRASHES:
            return
        oldest = min(
            content.rows,
            key=lambda crash: (
                not content.rows[crash].is_cleared,
                content.rows[crash].at,
            ),
        )
        del content.rows[oldest]

    def _shrink(self) -> None:
        if len(self._contents) <= MAX_CONTENTS:
            return
        # More than necessary, so that not every crash has to look for them.
        excess = len(self._contents) - MAX_CONTENTS * 7 // 8
        least = heapq.nsmallest(
            excess,
            self._contents,
            key=lambda key: (
                self._contents[key].count_crashes(),
                self._contents[key].find_latest(),
            ),
        )
        for key in least:
            del self._contents[key]

    def count_crashes(self, key: ids.ContentKey) -> int:
        """Return the crashes that a request is blamed for."""
        content = self._contents.get(key)
        return 0 if content is None else content.count_crashes()

    def list_rivals(self, key: ids.ContentKey) -> set[ids.ContentKey]:
        """Return others that may be the cause of a request's crashes."""
        content = self._contents.get(key)
        if content is None:
            return set()
        own = content.list_crashes()
        found: set[ids.ContentKey] = set()
        for other_key, other in self._contents.items():
            if other_key == key:
                continue
            others = other.list_crashes()
            if len(others) < CRASH_LIMIT:
                continue
            if len(own - others) < CRASH_LIMIT:
                found.add(other_key)
        return found


@ty.final
class Trials:
    """Trials of contested requests that this host has granted."""

    def __init__(self) -> None:
        """Start without trials."""
        self._tried: set[ids.ContentKey] = set()

    def is_available(self, key: ids.ContentKey) -> bool:
        """Tell whether a request has not had its trial here."""
        return key not in self._tried

    def take(self, key: ids.ContentKey) -> None:
        """Grant the only trial of a request."""
        self._tried.add(key)

    def retain_only(
        self, keys: collections.abc.Iterable[ids.ContentKey]
    ) -> None:
        """Forget the trials of all other requests."""
        self._tried.intersection_update(keys)


def _is_below_limit(item: tuple[ids.ContentKey, _Content]) -> bool:
    return item[1].count_crashes() < CRASH_LIMIT


def _is_cleared(blame: Blame) -> bool:
    return blame.is_cleared


def _write_rows(
    key: ids.ContentKey, content: _Content, now: float
) -> list[Blame]:
    return [
        Blame(
            key,
            crash,
            row.host,
            row.is_cleared,
            age_s=max(0, round(now - row.at)),
        )
        for crash, row in content.rows.items()
    ]
