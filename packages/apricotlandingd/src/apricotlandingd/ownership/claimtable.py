"""The claims of one shard, as its owner keeps them.

A claim ties an idempotency key to the one daemon that may run it. The table
is in memory only. An owner that takes over from one that died restores what
it can from the daemons' reports and answers *unknown* for every other key
that an earlier owner may have granted. A *cut-off* time decides which these
are:

* Keys issued (their UUIDv7 time) before the cut-off may have been granted by
  an earlier owner. No owner grants a key before its own clock has reached
  the key's issue time, whatever the caller's clock says; and no earlier
  owner granted after its lease had ended. So the cut-off is the time when
  the last earlier lease ended, plus the allowance for host clocks twice:
  that owner's clock may have run ahead and ours may be behind.
* Keys issued after it cannot have been granted by an earlier owner.

An owner that received the whole table from its predecessor has no cut-off.
"""

import dataclasses
import typing as ty

from apricotlanding import bundle
from apricotlanding import ids
from apricotlanding import wire

__all__ = ['Claim', 'ClaimTable', 'Deferral']

# How long a new owner waits for the daemons' reports.
REPORT_TIMEOUT_S = 1.5


@ty.final
@dataclasses.dataclass(slots=True)
class Claim:
    """Which daemon may run a key, and the state of the key."""

    digest: bytes
    holder: ids.Incarnation
    state: wire.ClaimState
    # The holder's attempt.
    ticket: str
    # Wall clock time after which the key is rejected as expired, so that
    # the claim can be dropped.
    expires_at: float


ClaimKey = tuple[ids.Organisation, ids.Key]


@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class Deferral:
    """A claim cannot be decided yet and has to be tried again."""

    # Longest wait, in seconds; a report may end it sooner.
    seconds: float


@ty.final
class ClaimTable:
    """Claims by organisation and key."""

    def __init__(
        self,
        epoch: ids.Epoch,
        limits: bundle.Limits,
        cutoff_at: float | None,
    ) -> None:
        """Start without a claim.

        ``cutoff_at`` is Unix time; None if no earlier owner can have granted
        a key whose claim is missing here.
        """
        self.epoch = epoch
        self.window_s = limits.claim_window_s
        self.skew_s = limits.clock_skew_s
        self.max_ahead_s = limits.key_ahead_s
        self.cutoff_at = cutoff_at
        # True once every live daemon has reported or the wait has ended.
        self.has_reports = cutoff_at is None
        self._claims: dict[ClaimKey, Claim] = {}

    def __len__(self) -> int:
        """Return the number of claims."""
        return len(self._claims)

    def decide(
        self,
        request: wire.ClaimRequest,
        sender: ids.Incarnation,
        wall: float,
    ) -> wire.ClaimReply | Deferral:
        """Decide a claim, or return how long to wait.

        The caller has checked that the lease is valid, and checks it again
        after this returns. ``wall`` is Unix time.
        """
        claim_key = (request.organisation, request.key)
        claim = self._claims.get(claim_key)
        if claim is not None:
            return self._answer_known(claim, request, sender)
        issued = ids.read_issue_time(request.key)
        if issued is not None:
            refusal = self._check_age(issued, wall)
            if refusal is not None:
                return refusal
            if issued > wall:
                return Deferral(issued - wall)
        if self._is_before_cutoff(issued, wall):
            if not self.has_reports:
                return Deferral(REPORT_TIMEOUT_S)
            return self._reply(wire.ClaimVerdict.UNKNOWN)
        self._claims[claim_key] = Claim(
            request.digest,
            sender,
            wire.ClaimState.HELD,
            request.ticket,
            (wall if issued is None else issued)
            + self.window_s
            + 2 * self.skew_s,
        )
        return self._reply(wire.ClaimVerdict.GRANTED, sender)

    def find(
        self, organisation: ids.Organisation, key: ids.Key
    ) -> Claim | None:
        """Return the claim of a key; None if there is none."""
        return self._claims.get((organisation, key))

    def record_outcome(
        self, message: wire.ClaimEnd, sender: ids.Incarnation
    ) -> None:
        """Record the outcome of a key that its holder reports."""
        claim_key = (message.organisation, message.key)
        claim = self._claims.get(claim_key)
        if claim is None or claim.holder != sender:
            return
        if claim.ticket != message.ticket:
            return
        if claim.state is not wire.ClaimState.HELD:
            # The first outcome counts: a release that arrives after the end
            # would let the key run again.
            return
        # A released key stays in the table: before the cut-off, a retry of a
        # missing key would be answered "unknown", although we know that it
        # was not run.
        claim.state = message.state

    def add_report(self, report: wire.ClaimReport, wall: float) -> None:
        """Add a daemon's claims, or a predecessor's whole table."""
        for held in report.claims:
            claim_key = (held.organisation, held.key)
            if claim_key in self._claims:
                continue
            if (
                held.state is wire.ClaimState.RELEASED
                and not report.is_handover
            ):
                # The previous owner may have granted the key to another
                # daemon since; only its whole table shows that.
                continue
            issued = ids.read_issue_time(held.key)
            base = wall if issued is None else issued
            self._claims[claim_key] = Claim(
                held.digest,
                held.holder,
                held.state,
                held.ticket,
                base + self.window_s + 2 * self.skew_s,
            )

    def list_claims(self) -> list[wire.HeldClaim]:
        """Return the whole table, for a handover."""
        return [
            wire.HeldClaim(
                claim_key[0],
                claim_key[1],
                claim.digest,
                claim.state,
                claim.holder,
                claim.ticket,
            )
            for claim_key, claim in self._claims.items()
        ]

    def drop_expired(self, wall: float) -> int:
        """Drop claims whose keys have expired; return how many."""
        expired = [
            claim_key
            for claim_key, claim in self._claims.items()
            if claim.expires_at < wall
        ]
        for claim_key in expired:
            del self._claims[claim_key]
        return len(expired)

    def _answer_known(
        self,
        claim: Claim,
        request: wire.ClaimRequest,
        sender: ids.Incarnation,
    ) -> wire.ClaimReply:
        if claim.digest != request.digest:
            return self._reply(wire.ClaimVerdict.KEY_REUSED)
        if claim.state is wire.ClaimState.RELEASED:
            claim.state = wire.ClaimState.HELD
            claim.holder = sender
            claim.ticket = request.ticket
            return self._reply(wire.ClaimVerdict.GRANTED, sender)
        if claim.state is wire.ClaimState.UNKNOWN:
            return self._reply(wire.ClaimVerdict.UNKNOWN, claim.holder)
        if claim.state is wire.ClaimState.FINISHED:
            return self._reply(
                wire.ClaimVerdict.FINISHED, claim.holder, 0.0, claim.ticket
            )
        if claim.holder == sender and claim.ticket == request.ticket:
            # A retry: the reply to its first request was lost.
            return self._reply(wire.ClaimVerdict.GRANTED, sender)
        return self._reply(
            wire.ClaimVerdict.HELD, claim.holder, 0.0, claim.ticket
        )

    def _check_age(self, issued: float, wall: float) -> wire.ClaimReply | None:
        if issued > wall + self.max_ahead_s:
            return self._reply(
                wire.ClaimVerdict.KEY_FROM_FUTURE, None, issued - wall
            )
        if issued < wall - self.window_s:
            return self._reply(
                wire.ClaimVerdict.KEY_EXPIRED, None, self.window_s
            )
        return None

    def _is_before_cutoff(self, issued: float | None, wall: float) -> bool:
        if self.cutoff_at is None:
            return False
        if issued is None:
            # No issue time: it may be as old as the claim window.
            return wall < self.cutoff_at + self.window_s
        return issued <= self.cutoff_at

    def _reply(
        self,
        verdict: wire.ClaimVerdict,
        holder: ids.Incarnation | None = None,
        seconds: float = 0.0,
        ticket: str = '',
    ) -> wire.ClaimReply:
        return wire.ClaimReply(verdict, self.epoch, holder, seconds, ticket)
