"""Fair sharing of a service's runners between organisations.

Applies ``shareorders`` to the requests of a coordinator. Requests are divided
by tier and route tier first, and organisations share what is left for one
tier. Within a share, requests that can still meet their objective come first,
then those with the earlier deadline. Each tier counts the use of its own
requests, so what an organisation uses in one does not hold it back in another.

The state is of one host, and is lost with it: the coordinator that replaces it
starts with equal use of all organisations.
"""

import collections.abc
import dataclasses
import math
import operator
import typing as ty

from apricotlanding import ids
from apricotlandingd.gateway import catalogue
from apricotlandingd.gateway.decisions import averages
from apricotlandingd.gateway.decisions import queueing
from apricotlandingd.gateway.decisions import shareorders
from apricotlandingd.gateway.decisions import shareweights
from apricotlandingd.gateway.runners import latency

__all__ = ['FindOrganisation', 'OrganisationShares']

# Requests without an organisation share one together.
NO_ORGANISATION = ids.Organisation('')
# Seconds for which the median latency of a service is used; finding it takes
# longer than the decisions of a pass.
MEDIAN_MAX_AGE_S = 0.5
# Mean number of slots below which an organisation's use is forgotten. It has
# this after holding one slot for 0.5 s and none for 25 s.
MIN_USE = 0.0007
# Seconds for which an organisation counts as waiting after a pass in which it
# did. Passes over the requests that wait are 0.02 s apart, and hosts that are
# short of processor time hold some of them back.
WAITING_MAX_AGE_S = 0.2
# Most organisations above their share that a log line names.
MAX_DESCRIBED = 3

Tiers = tuple[ids.Tier, ids.Tier]
Ranked = list[tuple[queueing.Rank, queueing.QueuedRequest]]
FindOrganisation = collections.abc.Callable[
    [ids.Organisation], catalogue.Organisation | None
]


@ty.final
@dataclasses.dataclass(slots=True)
class _TierUse:
    """Recent use of one tier, and the order that follows from it."""

    # Mean number of slots that each organisation holds.
    rates: averages.Rates
    order: shareorders.ShareOrder
    # When organisations last waited, in any subset of the service.
    waited_at: dict[ids.Organisation, float] = dataclasses.field(
        default_factory=dict
    )

    def list_waiting(self, now: float) -> set[ids.Organisation]:
        """Return the organisations that wait."""
        since = now - WAITING_MAX_AGE_S
        return {name for name, at in self.waited_at.items() if at >= since}

    def forget_idle(self, now: float) -> None:
        """Forget the organisations that no longer use runners, or wait."""
        self.rates.forget_below(MIN_USE, now)
        self.order.forget_idle()
        for name in self.waited_at.keys() - self.list_waiting(now):
            del self.waited_at[name]


@ty.final
class OrganisationShares:
    """The shares of organisations in one service."""

    def __init__(
        self,
        service: ids.Pool,
        latencies: latency.LatencyEstimates,
        find_organisation: FindOrganisation,
        way: str = shareorders.WAY,
    ) -> None:
        """Start without use; ``way`` names the order within a tier."""
        self._service = service
        self._latencies = latencies
        self._find_organisation = find_organisation
        self._way = way
        self._uses: dict[Tiers, _TierUse] = {}
        # Median latency of the service, and when it was found.
        self._median: tuple[latency.LatencyEstimate, float] | None = None

    def sort(
        self, requests: list[queueing.QueuedRequest], now: float
    ) -> Ranked:
        """Return the requests in the order in which they get slots."""
        ranked = [(request.find_rank(now), request) for request in requests]
        ranked.sort(key=operator.itemgetter(0))
        tiers: dict[Tiers, Ranked] = {}
        for item in ranked:
            tiers.setdefault(_find_tiers(item[1]), []).append(item)
        found: Ranked = []
        for key, items in tiers.items():
            found.extend(self._sort_tier(key, items, now))
        return found

    def note_grant(
        self,
        request: queueing.QueuedRequest,
        load: queueing.Load,
        cost_s: float,
        now: float,
    ) -> queueing.Load:
        """Count a request that is granted a slot; return what it takes."""
        name = _find_name(request)
        tiers = _find_tiers(request)
        use = self._open(tiers)
        weights = self._find_weights(use, now, name)
        use.rates.record(name, cost_s, now)
        use.order.note_grant(name, cost_s, weights[name])
        return load._replace(
            organisation=request.organisation,
            cost_s=cost_s,
            granted_at=now,
            tiers=tiers,
        )

    def note_release(self, load: queueing.Load, now: float) -> None:
        """Replace the expected cost of a request by the actual one."""
        use = None if load.tiers is None else self._uses.get(load.tiers)
        if use is None:
            # Granted by another coordinator, or its tier was forgotten.
            return
        name = load.organisation or NO_ORGANISATION
        held_s = max(0.0, now - load.granted_at)
        missing_s = held_s - load.cost_s
        weights = self._find_weights(use, now, name)
        use.order.note_correction(name, missing_s, weights[name])
        # The expected cost has decayed since.
        decay = math.exp(-held_s / shareorders.USE_WINDOW_S)
        use.rates.record(name, missing_s * decay, now)

    def describe(
        self, request: queueing.QueuedRequest, now: float
    ) -> dict[str, ty.Any]:
        """Return the share and the use of a request's organisation, to log."""
        name = _find_name(request)
        use = self._open(_find_tiers(request))
        weights = self._find_weights(use, now, name)
        rates = use.rates.list_rates(now)
        total = sum(rates.values()) or 1.0
        shares = shareweights.find_shares(weights)
        above = sorted(_list_above(rates, weights), key=lambda at: -rates[at])
        return {
            'organisation': request.organisation,
            'share': round(shares[name], 4),
            'use': round(rates.get(name, 0.0) / total, 4),
            'organisations': len(weights),
            'above': {
                other: round(rates[other] / total, 4)
                for other in above[:MAX_DESCRIBED]
            },
        }

    def forget_idle(self, now: float) -> None:
        """Forget the organisations that no longer use runners."""
        for key, use in list(self._uses.items()):
            use.forget_idle(now)
            if not use.rates.list_rates(now) and not use.waited_at:
                del self._uses[key]

    def list_active(self, now: float) -> set[ids.Organisation]:
        """Return the organisations that have used runners recently."""
        found: set[ids.Organisation] = set()
        for use in self._uses.values():
            found.update(use.rates.list_rates(now))
        return found

    def list_above(self, now: float) -> set[ids.Organisation]:
        """Return the organisations above their share in a tier."""
        found: set[ids.Organisation] = set()
        for use in self._uses.values():
            rates = use.rates.list_rates(now)
            found.update(_list_above(rates, self._find_weights(use, now)))
        return found

    def _sort_tier(self, tiers: Tiers, items: Ranked, now: float) -> Ranked:
        names = [
            request.organisation or NO_ORGANISATION for _, request in items
        ]
        use = self._open(tiers)
        waiting_names = set(names)
        use.waited_at.update(dict.fromkeys(waiting_names, now))
        if len(waiting_names) < 2:
            return items
        usual = self._find_median(now)
        costs = [
            usual.predict_answer(request.prompt_tokens, request.events)
            for _, request in items
        ]
        waiting = list(map(shareorders.Waiting, names, costs))
        weights = self._find_weights(use, now)
        levels = use.order.list_levels(waiting, weights, now)
        # Keeps the order of requests of one level.
        order = sorted(range(len(items)), key=levels.__getitem__)
        return [items[at] for at in order]

    def _find_median(self, now: float) -> latency.LatencyEstimate:
        found = self._median
        if found is None or now - found[1] > MEDIAN_MAX_AGE_S:
            found = self._latencies.find_median(self._service), now
            self._median = found
        return found[0]

    def _open(self, tiers: Tiers) -> _TierUse:
        use = self._uses.get(tiers)
        if use is None:
            rates = averages.Rates(shareorders.USE_WINDOW_S)
            order = shareorders.make_order(self._way, rates)
            use = self._uses[tiers] = _TierUse(rates, order)
        return use

    def _find_weights(
        self,
        use: _TierUse,
        now: float,
        *names: ids.Organisation,
    ) -> shareweights.Weights:
        active = {*use.rates.list_rates(now), *use.list_waiting(now), *names}
        return shareweights.find_weights(
            {name: self._find_organisation(name) for name in active}
        )


def _find_name(request: queueing.QueuedRequest) -> ids.Organisation:
    return request.organisation or NO_ORGANISATION


def _find_tiers(request: queueing.QueuedRequest) -> Tiers:
    return request.tier, request.route_tier


def _list_above(
    rates: dict[ids.Organisation, float], weights: shareweights.Weights
) -> list[ids.Organisation]:
    total = sum(rates.values())
    shares = shareweights.find_shares(weights)
    return [name for name in rates if rates[name] > shares[name] * total]
