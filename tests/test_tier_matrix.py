"""Rows of the tier matrix that every build runs; see ``tiermatrix``.

``make matrix`` runs the whole matrix.
"""

import json
import types
import typing as ty

import testtools

from apricotstandins import callers
import bursts
import matrixrows
import tiermatrix

# Rows that have found faults before.
ROWS = ('freeze-scheduler', 'cut-entry', 'cut-pair')
# Response body of a request that was shed.
SHED_BODY = json.dumps({'code': bursts.SHED_CODE}).encode() + b'\n'


def run_row(name: str, seed: int) -> matrixrows.Row:
    """Run all cells of a row on a new system."""
    with matrixrows.start_system(
        bursts.RUNNERS, **bursts.POOL_SETTINGS
    ) as system:
        return tiermatrix.run_row(system, name, seed)


class TestTierMatrix(testtools.TestCase):
    """All cells of each row pass."""


class TestCheck(testtools.TestCase):
    """Tier inversions that the check reports if a host is disconnected."""

    def find(self, kept_at: str, posted_at: float) -> list[str]:
        """Check a request shed at entry-1 after 2 s, and one that is kept.

        entry-2 is disconnected from the scheduler after 1 s.
        """
        shed = bursts.PostedRequest(
            key='a',
            route='note',
            tier=3,
            host='entry-1',
            posted_at=1.9,
            ended_at=2.0,
            reply=callers.Reply(status=429, body=SHED_BODY),
        )
        kept = bursts.PostedRequest(
            key='b',
            route='report',
            tier=4,
            host=kept_at,
            posted_at=posted_at,
            ended_at=5.0,
            reply=callers.Reply(status=200),
        )
        system = types.SimpleNamespace(
            read_witness=lambda name: {'accepted_at': {'b': 4.0}}
        )
        return bursts.find_inversions(
            ty.cast('ty.Any', system), [shed, kept], 'entry-2', 1.0
        )

    def test_kept_at_a_connected_host(self) -> None:
        self.assertNotEqual([], self.find('entry-1', 1.1))
        self.assertNotEqual([], self.find('entry-3', 1.1))

    def test_kept_at_the_disconnected_host_since_before(self) -> None:
        # It is registered at the scheduler, which must consider it.
        self.assertNotEqual([], self.find('entry-2', 0.4))

    def test_kept_at_the_disconnected_host_that_came_afterwards(self) -> None:
        # The scheduler cannot know of it.
        self.assertEqual([], self.find('entry-2', 1.1))


for _name in ROWS:
    matrixrows.add_row(TestTierMatrix, _name, run_row)
