"""Requests of different sizes under one allowance, without a network."""

import dataclasses
import random

import testtools

from apricotlandingd.gateway.decisions import quotas
import gatewayparts

# The allowance, and the operators' slack.
RATE_UNITS_PER_S = 1000.0
SLACK_UNITS = 20_000.0
DURATION_S = 60.0
# Most requests are small; a tenth of them are ten times as large.
SMALL_UNITS = 100.0
LARGE_UNITS = 1000.0
LARGE_SHARE = 0.1


@dataclasses.dataclass
class Counts:
    """Number of requests of one size that were sent and admitted."""

    requested: int = 0
    admitted: int = 0

    def find_share(self) -> float:
        return self.admitted / self.requested


def simulate(load: float, slack: float = SLACK_UNITS) -> dict[float, Counts]:
    """Request ``load`` times the allowance; return counts by size."""
    rng = random.Random(7)
    buckets = quotas.Quotas(slack, 0.0)
    organisation = gatewayparts.make_organisation(RATE_UNITS_PER_S)
    counts = {SMALL_UNITS: Counts(), LARGE_UNITS: Counts()}
    mean = SMALL_UNITS + LARGE_SHARE * (LARGE_UNITS - SMALL_UNITS)
    now = 0.0
    while now < DURATION_S:
        now += rng.expovariate(load * RATE_UNITS_PER_S / mean)
        cost = LARGE_UNITS if rng.random() < LARGE_SHARE else SMALL_UNITS
        counts[cost].requested += 1
        wait = gatewayparts.take_units(buckets, organisation, cost, 0.0, now)
        counts[cost].admitted += wait is None
    return counts


class TestSizes(testtools.TestCase):
    """An organisation that requests more than its allowance."""

    def test_large_requests_are_not_starved_by_small_ones(self) -> None:
        # Guards against starvation of callers with large prompts. If other
        # callers of the organisation exceed its allowance with small requests,
        # these use up the units as they arrive, and there are never enough at
        # once for a large request.
        counts = simulate(load=2.0)
        self.assertGreaterEqual(
            counts[LARGE_UNITS].find_share(),
            0.8 * counts[SMALL_UNITS].find_share(),
        )

    def test_whole_allowance_is_used(self) -> None:
        for load in (1.5, 2.0, 4.0):
            counts = simulate(load)
            used = (
                SMALL_UNITS * counts[SMALL_UNITS].admitted
                + LARGE_UNITS * counts[LARGE_UNITS].admitted
            )
            self.assertGreaterEqual(used, RATE_UNITS_PER_S * DURATION_S)

    def test_requests_within_the_allowance_are_admitted(self) -> None:
        for found in simulate(load=0.7).values():
            self.assertEqual(found.requested, found.admitted)

    def test_without_slack_the_whole_burst_is_handed_out(self) -> None:
        # Units are held back out of the slack only: a request within the burst
        # must be admitted.
        buckets = quotas.Quotas(0.0, -100.0)
        organisation = gatewayparts.make_organisation(RATE_UNITS_PER_S)
        self.assertIsNone(
            gatewayparts.take_units(buckets, organisation, 900.0, 0.0, 0.0)
        )
        self.assertIsNone(
            gatewayparts.take_units(buckets, organisation, 100.0, 0.0, 0.0)
        )
