"""The queue of one pool: which requests are granted or shed, and where.

Tiers are strict: no request of a higher tier is shed while one of a lower
tier waits, and none of a lower tier is granted what one of a higher tier
could use. Long requests leave some slots to short ones, so a short request
of a lower tier may start while a long one waits. Within a tier ``tierqueue``
keeps a fair order; of the next few requests of an organisation, one whose
prefix the runner caches is granted first.

Engines have no priorities, so requests wait here and not in the engines: a
runner is granted only what its batch can hold.

A request that still waits for its claim is *held*: it counts and can be
shed, but is not granted. If it were not queued, requests of a higher tier
would be shed while it waits elsewhere, and it would run once it is claimed.

Shedding follows one rule for all its reasons: only the lowest waiting tier
is shed. Within it, the newest request is shed of the organisation that has
the most waiting tokens for its weight. A shed request counts as waiting until
its daemon confirms the shed; see ``_find_sheddable_tier``.
"""

import collections
import collections.abc
import dataclasses
import random
import typing as ty

from apricotlanding import bundle
from apricotlanding import ids
from apricotlanding import wire
from apricotlandingd.pools import drainrate
from apricotlandingd.pools import policies
from apricotlandingd.pools import runnerstate
from apricotlandingd.pools import tierqueue

__all__ = ['GrantDecision', 'PoolQueue', 'ShedDecision']

# A grant expires if it is not used within this time.
GRANT_TIMEOUT_S = 1.0
# A request is started only if at least this share of its estimated duration
# is left before its deadline.
MIN_ESTIMATE_SHARE = 0.7
# How many requests of an organisation are searched for a cached prefix, and
# how often one of them may be overtaken for that reason.
LOOKAHEAD_REQUESTS = 16
MAX_OVERTAKES = 8
# Bounds of the advised delay before a retry.
MIN_RETRY_AFTER_S = 1.0
MAX_RETRY_AFTER_S = 30.0


@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class GrantDecision:
    """A runner has room for a request."""

    waiting: tierqueue.WaitingRequest
    runner: ids.Runner


@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class ShedDecision:
    """A request is shed."""

    waiting: tierqueue.WaitingRequest
    retry_after_s: float
    # True if the reason is not load: it would miss its deadline even if it
    # started now.
    is_late: bool = False


@dataclasses.dataclass(slots=True, eq=False)
class _Granted:
    waiting: tierqueue.WaitingRequest
    runner: ids.Runner
    expires_at: float
    is_started: bool = False


@ty.final
class PoolQueue:
    """Grants and sheds the requests of one pool."""

    def __init__(self, pool: bundle.PoolModel, seed: int = 0) -> None:
        """Start empty."""
        self.pool = pool
        self.policy = policies.find_policy(pool.policy)
        self.runners: dict[ids.Runner, runnerstate.RunnerState] = {}
        self._tiers: dict[int, tierqueue.TierQueue] = {}
        self._waiting: dict[str, tierqueue.WaitingRequest] = {}
        self._granted: dict[str, _Granted] = {}
        self._rng = random.Random(seed)  # noqa: S311
        self._choice_count = 0
        self._waiting_tokens = 0
        self._waiting_short_tokens = 0
        # Set during ``_grant_all`` once a long request has no room.
        self._is_long_blocked = False
        self._drain_rate = drainrate.DrainRate()
        self.update_pool(pool)

    def update_pool(self, pool: bundle.PoolModel) -> None:
        """Apply a change of configuration; running requests go on."""
        self.pool = pool
        self.policy = policies.find_policy(pool.policy)
        named = {ids.Runner(model.name): model for model in pool.runners}
        for name, model in named.items():
            if name in self.runners:
                self.runners[name].model = model
            else:
                self.runners[name] = runnerstate.RunnerState(model)
        for name in list(self.runners):
            if name not in named:
                del self.runners[name]

    def count_by_tier(self) -> dict[int, int]:
        """Return how many requests wait in each tier."""
        counts: collections.Counter[int] = collections.Counter()
        for waiting in self._waiting.values():
            counts[waiting.entry.tier] += 1
        return dict(counts)

    def register(
        self, entry: wire.Registration, sender: ids.Incarnation, now: float
    ) -> None:
        """Add a request, waiting or, after a takeover, already running."""
        known = self._granted.get(entry.ticket)
        if known is not None and entry.runner is None:
            # Its grant was not used; it waits again.
            self._revoke_grant(known)
        queued = self._waiting.get(entry.ticket)
        if queued is not None:
            if queued.entry.is_ready or not entry.is_ready:
                return
            self._drop_waiting(queued)
        # A daemon that registers a shed request did not receive the shed.
        self._confirm_shed(entry.ticket)
        waiting = tierqueue.WaitingRequest(
            entry=entry,
            sender=sender,
            arrived_at=now - entry.waited_s,
            deadline_at=now + entry.deadline_s,
            rank=entry.tier if self.policy.has_tiers else 0,
            is_short=self._is_short(entry),
        )
        if entry.runner is not None:
            self._assign_runner(waiting, entry.runner, now, is_started=True)
            return
        self._add_waiting(waiting)

    def start(self, message: wire.Started, now: float) -> None:
        """Record that a grant was used."""
        granted = self._granted.get(message.ticket)
        if granted is not None and granted.runner == message.runner:
            granted.is_started = True
            return
        waiting = self._waiting.get(message.ticket)
        if waiting is not None:
            # Granted by an earlier scheduler.
            self._drop_waiting(waiting)
        else:
            # Shed here, after it had started on such a grant.
            waiting = self._confirm_shed(message.ticket)
        if waiting is not None:
            self._assign_runner(waiting, message.runner, now, is_started=True)

    def finish(self, message: wire.Finished, now: float) -> None:
        """Record that a request has finished on its runner."""
        granted = self._granted.pop(message.ticket, None)
        if granted is None:
            return
        self._drain_rate.record_finished(granted.waiting.tokens)
        runner = self.runners.get(granted.runner)
        if runner is None:
            return
        assignment = runner.release(message.ticket)
        if assignment is not None:
            sender = granted.waiting.sender
            runner.record_result(assignment, message, sender, now)

    def withdraw(self, ticket: str) -> None:
        """Remove a request that its daemon no longer wants to run."""
        self._confirm_shed(ticket)
        waiting = self._waiting.get(ticket)
        if waiting is not None:
            self._drop_waiting(waiting)
        granted = self._granted.get(ticket)
        if granted is not None:
            self._revoke_grant(granted)

    def drop_sender(self, sender: ids.Incarnation) -> None:
        """Remove all requests of a daemon that has disconnected."""
        for waiting in list(self._waiting.values()):
            if waiting.sender == sender:
                self._drop_waiting(waiting)
        self.confirm_sheds(sender)
        for granted in list(self._granted.values()):
            if granted.waiting.sender == sender:
                self._revoke_grant(granted)

    def confirm_sheds(self, sender: ids.Incarnation) -> None:
        """Treat all sheds of a daemon's requests as confirmed.

        For a daemon that has disconnected or is about to register all its
        requests: confirmations may have been lost with a connection.
        """
        for tier in self._tiers.values():
            for ticket, waiting in list(tier.unconfirmed.items()):
                if waiting.sender == sender:
                    del tier.unconfirmed[ticket]

    def decide(
        self, now: float, may_shed: bool
    ) -> list[GrantDecision | ShedDecision]:
        """Grant all requests with room, then shed what has to be shed."""
        self._drain_rate.update(bool(self._waiting), now)
        found: list[GrantDecision | ShedDecision] = []
        found.extend(self._grant_all(now))
        if may_shed:
            found.extend(self._shed_all(now))
        return found

    def expire_grants(self, now: float) -> list[GrantDecision]:
        """Revoke grants that were not used in time; return them."""
        expired: list[GrantDecision] = []
        for granted in list(self._granted.values()):
            if granted.is_started or now < granted.expires_at:
                continue
            self._revoke_grant(granted)
            expired.append(GrantDecision(granted.waiting, granted.runner))
        return expired

    def withdraw_grants(self, runner: ids.Runner) -> list[GrantDecision]:
        """Revoke the unused grants of a runner; return them."""
        found: list[GrantDecision] = []
        for granted in list(self._granted.values()):
            if granted.is_started or granted.runner != runner:
                continue
            self._revoke_grant(granted)
            found.append(GrantDecision(granted.waiting, granted.runner))
        return found

    def list_started(self, runner: ids.Runner) -> list[GrantDecision]:
        """Return the requests that were started on a runner."""
        return [
            GrantDecision(granted.waiting, granted.runner)
            for granted in self._granted.values()
            if granted.is_started and granted.runner == runner
        ]

    def estimate_retry_after_s(self) -> float:
        """Return the seconds in which the waiting requests will drain."""
        if self._drain_rate.tokens_per_s <= 0.0:
            return MIN_RETRY_AFTER_S
        seconds = self._waiting_tokens / self._drain_rate.tokens_per_s
        return min(max(seconds, MIN_RETRY_AFTER_S), MAX_RETRY_AFTER_S)

    # Granting.

    def _grant_all(
        self, now: float
    ) -> ty.Iterator[GrantDecision | ShedDecision]:
        self._is_long_blocked = False
        for rank in sorted(self._tiers):
            tier = self._tiers[rank]
            while options := tier.list_next(LOOKAHEAD_REQUESTS):
                is_short = options[0].is_short
                if self._is_long_blocked and not is_short:
                    break
                runner = self._choose_runner(options[0], now)
                if runner is None and is_short:
                    # Nothing may overtake it: if smaller requests could, a
                    # large one would starve.
                    return
                if runner is None:
                    # Only short requests of lower tiers may follow, on
                    # slots that a long one may not take.
                    self._is_long_blocked = True
                    break
                waiting = self._choose_request(options, runner)
                tier.remove_granted(waiting)
                self._unindex_waiting(waiting)
                if self._is_late(waiting, runner, now):
                    yield ShedDecision(waiting, 0.0, is_late=True)
                    continue
                self._assign_runner(
                    waiting, runner.name, now, is_started=False
                )
                yield GrantDecision(waiting, runner.name)

    def _is_short(self, entry: wire.Registration) -> bool:
        if not self.policy.has_short_slots:
            return False
        tokens = entry.prompt_tokens + entry.output_tokens
        return tokens <= self.pool.short_tokens

    def _has_slot(
        self,
        waiting: tierqueue.WaitingRequest,
        usable: collections.abc.Iterable[runnerstate.RunnerState],
    ) -> bool:
        # Otherwise long requests hold every slot for seconds while hundreds
        # of short ones, which need one for some milliseconds each, miss
        # their deadlines. So long requests never take the reserved slots,
        # and while one waits short requests take no others.
        if not self.policy.has_short_slots:
            return True
        if waiting.is_short and not self._is_long_blocked:
            return True
        slots = short = total = 0
        for runner in usable:
            slots += runner.model.slots
            short += runner.short_count
            total += len(runner.assigned)
        reserved = round(self.pool.short_part * slots)
        if waiting.is_short:
            return short < reserved
        return total - short < slots - reserved

    def _choose_request(
        self,
        options: list[tierqueue.WaitingRequest],
        runner: runnerstate.RunnerState,
    ) -> tierqueue.WaitingRequest:
        # Under load a single runner has room, and its cache decides how
        # long the prefill takes: so of the first few waiting requests the
        # one with the longest cached prefix is chosen. One that was
        # overtaken too often is chosen in any case, which bounds its wait.
        head = options[0]
        if (
            not self.policy.has_lookahead
            or head.overtaken_count >= MAX_OVERTAKES
        ):
            return head
        best = 0
        best_cached = runner.count_cached_tokens(head.entry.prefix)
        for index, waiting in enumerate(options):
            if runner.name in waiting.entry.avoid:
                continue
            if waiting.is_short != head.is_short:
                continue
            if not runner.has_room(waiting.tokens):
                continue
            cached = runner.count_cached_tokens(waiting.entry.prefix)
            if cached > best_cached:
                best = index
                best_cached = cached
        for waiting in options[:best]:
            waiting.overtaken_count += 1
        return options[best]

    def _is_late(
        self,
        waiting: tierqueue.WaitingRequest,
        runner: runnerstate.RunnerState,
        now: float,
    ) -> bool:
        # A request that ends after its deadline wastes its prefill and
        # output and delays those behind it. It is not dropped in favour of
        # another tier, so the rule of shedding does not apply. The estimate
        # may be too high, so only a share of it has to fit.
        if not self.policy.has_limits or not runner.has_measurements:
            return False
        entry = waiting.entry
        expected_s = runner.estimate_seconds(
            entry.prompt_tokens - runner.count_cached_tokens(entry.prefix),
            entry.output_tokens,
            now,
        )
        return now + MIN_ESTIMATE_SHARE * expected_s > waiting.deadline_at

    def _choose_runner(
        self, waiting: tierqueue.WaitingRequest, now: float
    ) -> runnerstate.RunnerState | None:
        candidates = self._list_candidates(waiting, now)
        if not candidates:
            return None
        self._choice_count += 1
        return self.policy.choose(
            policies.Choice(
                candidates=candidates,
                prompt_tokens=waiting.entry.prompt_tokens,
                output_tokens=waiting.entry.output_tokens,
                prefix=waiting.entry.prefix,
                deadline_s=waiting.deadline_at - now,
                rng=self._rng,
                choice_count=self._choice_count,
                now=now,
            )
        )

    def _list_candidates(
        self, waiting: tierqueue.WaitingRequest, now: float
    ) -> list[runnerstate.RunnerState]:
        usable = [
            runner for runner in self.runners.values() if runner.is_usable(now)
        ]
        fresh = [
            runner
            for runner in usable
            if runner.name not in waiting.entry.avoid
        ]
        # A runner that failed this request is better than none.
        usable = fresh or usable
        if not self.policy.has_limits:
            return usable
        found = [
            runner for runner in usable if runner.has_room(waiting.tokens)
        ]
        # Under load mostly none has room, and the slots need no check.
        if found and not self._has_slot(waiting, usable):
            return []
        return found

    def _assign_runner(
        self,
        waiting: tierqueue.WaitingRequest,
        name: ids.Runner,
        now: float,
        is_started: bool,
    ) -> None:
        self._granted[waiting.entry.ticket] = _Granted(
            waiting, name, now + GRANT_TIMEOUT_S, is_started
        )
        runner = self.runners.get(name)
        if runner is None:
            return
        entry = waiting.entry
        cached = runner.count_cached_tokens(entry.prefix)
        runner.assign(
            runnerstate.Assignment(
                ticket=entry.ticket,
                tokens=waiting.tokens,
                prompt_tokens=entry.prompt_tokens,
                uncached_tokens=max(entry.prompt_tokens - cached, 0),
                expected_wait_s=runner.estimate_wait(now),
                is_short=waiting.is_short,
            ),
            now,
        )
        runner.add_cached_blocks(entry.prefix)

    def _revoke_grant(self, granted: _Granted) -> None:
        del self._granted[granted.waiting.entry.ticket]
        runner = self.runners.get(granted.runner)
        if runner is not None:
            runner.release(granted.waiting.entry.ticket)

    # Shedding.

    def _shed_all(self, now: float) -> ty.Iterator[ShedDecision]:
        while self._is_over_limit():
            tier = self._find_sheddable_tier()
            if tier is None:
                return
            waiting = tier.find_shed_candidate()
            assert waiting is not None
            yield self._shed(waiting)
        yield from self._shed_infeasible(now)

    def _shed_infeasible(self, now: float) -> ty.Iterator[ShedDecision]:
        # Sheds requests that cannot start before their deadline. Only of
        # the lowest waiting tier: a request of a higher tier may not be
        # able to start in time either, but must not be shed before these.
        tier = self._find_sheddable_tier()
        if tier is None or self._drain_rate.tokens_per_s <= 0.0:
            return
        lowest = sorted(tier.iterate(), key=lambda item: item.arrived_at)
        ahead = self._waiting_tokens - sum(item.tokens for item in lowest)
        # Short requests have reserved slots: only short ones are ahead.
        short_ahead = self._waiting_short_tokens - sum(
            item.tokens for item in lowest if item.is_short
        )
        for waiting in lowest:
            tokens = short_ahead if waiting.is_short else ahead
            if (
                now + tokens / self._drain_rate.tokens_per_s
                > waiting.deadline_at
            ):
                yield self._shed(waiting)
                continue
            ahead += waiting.tokens
            if waiting.is_short:
                short_ahead += waiting.tokens

    def _is_over_limit(self) -> bool:
        if len(self._waiting) > self.pool.queue_requests:
            return True
        if len(self._waiting) < 2:
            return False
        return self._waiting_tokens > self.pool.queue_tokens

    def _find_sheddable_tier(self) -> tierqueue.TierQueue | None:
        # Returns the lowest waiting tier, or None if one below it has
        # unconfirmed sheds. A link that fails loses decisions before the
        # failure is detected: the requests would be registered again and
        # kept, although ones of a higher tier were shed in their place. The
        # wait ends with the confirmation or when the connection is lost;
        # then no shedding is allowed until that daemon has registered.
        for rank in sorted(self._tiers, reverse=True):
            tier = self._tiers[rank]
            if tier.count > 0:
                return tier
            if tier.unconfirmed:
                return None
        return None

    def _shed(self, waiting: tierqueue.WaitingRequest) -> ShedDecision:
        retry_after_s = self.estimate_retry_after_s()
        self._drop_waiting(waiting)
        tier = self._tiers[waiting.rank]
        tier.unconfirmed[waiting.entry.ticket] = waiting
        return ShedDecision(waiting, retry_after_s)

    def _confirm_shed(self, ticket: str) -> tierqueue.WaitingRequest | None:
        for tier in self._tiers.values():
            waiting = tier.unconfirmed.pop(ticket, None)
            if waiting is not None:
                return waiting
        return None

    # Bookkeeping.

    def _add_waiting(self, waiting: tierqueue.WaitingRequest) -> None:
        tier = self._tiers.get(waiting.rank)
        if tier is None:
            tier = self._tiers[waiting.rank] = tierqueue.TierQueue()
        tier.add(waiting)
        self._waiting[waiting.entry.ticket] = waiting
        self._waiting_tokens += waiting.tokens
        if waiting.is_short:
            self._waiting_short_tokens += waiting.tokens

    def _drop_waiting(self, waiting: tierqueue.WaitingRequest) -> None:
        self._tiers[waiting.rank].discard(waiting)
        self._unindex_waiting(waiting)

    def _unindex_waiting(self, waiting: tierqueue.WaitingRequest) -> None:
        del self._waiting[waiting.entry.ticket]
        self._waiting_tokens -= waiting.tokens
        if waiting.is_short:
            self._waiting_short_tokens -= waiting.tokens
