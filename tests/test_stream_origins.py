"""Which version began a stream: what hosts keep, tell and ask."""

import functools
import unittest.mock

import anyio
import testtools

from apricotlanding import clocks
from apricotlanding import ids
from apricotlandingd.gateway.runners import directory
from apricotlandingd.gateway.streams import keepers
from apricotlandingd.gateway.streams import originexchange
from apricotlandingd.gateway.streams import origins
from apricotlandingd.gateway.streams import releasehistory
import gatewayparts
import originsimulation
import test_release_queues

POOL = gatewayparts.POOL
ORIGIN = origins.Origin(POOL, ids.Release('v1'))
OTHER = origins.Origin(POOL, ids.Release('v2'))
STREAMS = 100


class TableTest(testtools.TestCase):
    """The rows of one host."""

    def test_origin_is_known_until_its_end(self) -> None:
        """Guards against origins that are forgotten, or kept for ever."""
        table = origins.OriginTable()
        stream = ids.Stream(1)
        table.note(stream, ORIGIN, 15.0, 0.0)
        self.assertEqual(ORIGIN, table.find(stream, 14.9))
        self.assertIsNone(table.find(stream, 15.0))
        table.expire(15.0)
        self.assertEqual(0, len(table))

    def test_time_of_a_row_is_bounded(self) -> None:
        """Guards against callers whose time has no end."""
        table = origins.OriginTable()
        row = table.note(ids.Stream(1), ORIGIN, 1e12, 0.0)
        self.assertEqual(origins.MAX_RETENTION_S, row.ends_at)

    def test_number_of_rows_is_bounded(self) -> None:
        """Guards against a host that is killed for its memory use."""
        table = origins.OriginTable(max_rows=10)
        for number in range(100):
            table.note(ids.Stream(number), ORIGIN, 15.0, 0.0)
        self.assertEqual(10, len(table))
        self.assertEqual(ORIGIN, table.find(ids.Stream(99), 1.0))

    def test_late_copy_shortens_no_row(self) -> None:
        """Guards against a copy that arrives late and ends a row early."""
        table = origins.OriginTable()
        table.note(ids.Stream(1), ORIGIN, 15.0, 0.0)
        table.note(ids.Stream(1), ORIGIN, 1.0, 0.0)
        self.assertEqual(ORIGIN, table.find(ids.Stream(1), 14.0))

    def test_attempt_of_another_organisation_is_another_stream(self) -> None:
        """Guards against what one organisation learns of another's stream."""
        names = (None, ids.Organisation('a'), ids.Organisation('b'))
        streams = {origins.derive_stream(name, 'attempt') for name in names}
        self.assertEqual(3, len(streams))


class KeeperTest(testtools.TestCase):
    """The hosts that are told."""

    def test_hosts_agree_on_keepers(self) -> None:
        """Guards against hosts that ask others than those that were told."""
        hosts = [ids.Host(f'host-{number}') for number in range(195)]
        told = keepers.rank_hosts(ids.Stream(7), hosts)
        asked = keepers.rank_hosts(ids.Stream(7), reversed(hosts[1:]))
        self.assertLessEqual(len(set(told) - set(asked)), 1)

    def test_streams_are_spread(self) -> None:
        """Guards against a few hosts that keep all streams."""
        hosts = [ids.Host(f'host-{number}') for number in range(20)]
        counts = dict.fromkeys(hosts, 0)
        for number in range(2000):
            for host in keepers.rank_hosts(ids.Stream(number), hosts):
                counts[host] += 1
        mean = 2000 * keepers.KEEPERS / 20
        self.assertLess(max(counts.values()), 1.3 * mean)


class ExchangeTest(testtools.TestCase):
    """Hosts that tell and ask each other."""

    def begin(self, network: originsimulation.Network) -> list[ids.Stream]:
        """Begin streams at the first host."""
        streams = [
            origins.derive_stream(None, f'attempt-{number}')
            for number in range(STREAMS)
        ]
        now = clocks.read_monotonic()
        for stream in streams:
            first = network.exchanges[network.names[0]]
            first.publish(stream, ORIGIN, 15.0, now)
        return streams

    def find_share(
        self,
        network: originsimulation.Network,
        streams: list[ids.Stream],
        number: int,
    ) -> float:
        """Return the share of streams that a host gets to know."""
        exchange = network.exchanges[network.names[number]]
        found = [
            anyio.run(functools.partial(exchange.find, stream, timeout_s=10.0))
            for stream in streams
        ]
        wrong = [item for item in found if item and item.origin != ORIGIN]
        self.assertEqual([], wrong)
        return sum(item is not None for item in found) / len(streams)

    def test_any_host_finds_out(self) -> None:
        """Guards against streams that cannot be taken up at other hosts."""
        for hosts in (2, 7, 81, 195):
            network = originsimulation.Network(hosts)
            streams = self.begin(network)
            for number in (0, 1, hosts - 1):
                self.assertEqual(1, self.find_share(network, streams, number))

    def test_cost_does_not_grow_with_the_hosts(self) -> None:
        """Guards against messages of each stream to each host."""
        for hosts in (7, 81, 195):
            network = originsimulation.Network(hosts)
            self.begin(network)
            self.assertEqual(keepers.KEEPERS * STREAMS, network.messages)
            self.assertLess(network.bytes / STREAMS, 400)

    def test_host_at_which_it_began_has_gone(self) -> None:
        """Guards against streams that only their first host knows."""
        network = originsimulation.Network(7)
        streams = self.begin(network)
        network.up.discard(network.names[0])
        self.assertEqual(1, self.find_share(network, streams, 1))

    def test_hosts_restart_one_after_the_other(self) -> None:
        """Guards against origins that a rolling restart loses."""
        for hosts in (7, 81):
            network = originsimulation.Network(hosts)
            streams = self.begin(network)
            now = clocks.read_monotonic()
            for name in network.names:
                network.restart(name, now)
            self.assertEqual(1, self.find_share(network, streams, hosts - 1))

    def test_hosts_stop_one_after_the_other(self) -> None:
        """Guards against origins that leave with the hosts that stop."""
        network = originsimulation.Network(7)
        streams = self.begin(network)
        for name in network.names[:-1]:
            network.exchanges[name].hand_over(clocks.read_monotonic())
            network.up.discard(name)
        self.assertEqual(1, self.find_share(network, streams, 6))

    def test_half_of_the_hosts_are_killed_at_once(self) -> None:
        """Guards against few copies: most streams have to go on."""
        for hosts in (7, 81, 195):
            network = originsimulation.Network(hosts)
            streams = self.begin(network)
            killed = [network.names[0]] + network.rng.sample(
                network.names[1:-1], hosts // 2 - 1
            )
            now = clocks.read_monotonic()
            network.up.difference_update(killed)
            for name in killed:
                network.restart(name, now)
            share = self.find_share(network, streams, hosts - 1)
            self.assertGreaterEqual(share, 0.85)

    def test_lossy_links(self) -> None:
        """Guards against streams that are lost with one datagram."""
        network = originsimulation.Network(81)
        network.loss_share = 0.2
        streams = self.begin(network)
        with unittest.mock.patch.object(
            originexchange, 'RESEND_INTERVAL_S', 0.002
        ):
            share = self.find_share(network, streams, 80)
        self.assertGreaterEqual(share, 0.98)

    def test_cut_host_does_not_know(self) -> None:
        """Guards against a host that takes a guess while it is cut off."""
        network = originsimulation.Network(7)
        streams = self.begin(network)
        network.cut = {network.names[6]}
        network.restart(network.names[6], clocks.read_monotonic())
        self.assertEqual(0, self.find_share(network, streams[:3], 6))

    def test_attempt_that_never_was_is_asked_of_few(self) -> None:
        """Guards against a question to all hosts for each invented attempt."""
        network = originsimulation.Network(195)
        unknown = [origins.derive_stream(None, 'never')]
        self.assertEqual(0, self.find_share(network, unknown, 0))
        self.assertLessEqual(
            network.messages, 2 * originexchange.MAX_ASKED_HOSTS
        )


class HistoryTest(testtools.TestCase):
    """Versions that this host has seen."""

    def setUp(self) -> None:
        super().setUp()
        self.runners = directory.Directory(2.0)
        self.history = releasehistory.ReleaseHistory(self.runners, 0.0)

    def register(self, name: str, release: ids.Release) -> None:
        entry = test_release_queues.make_entry(name, release)
        self.runners.update(entry)

    def find(self, now: float) -> ids.Release | None:
        self.history.update(now)
        return self.history.find_only(POOL, now)

    def test_only_version_is_known(self) -> None:
        """Guards against refusals where all runners are of one version."""
        self.register('a', ORIGIN.release)
        self.assertEqual(
            ORIGIN.release, self.find(releasehistory.WINDOW_S + 1)
        )

    def test_new_host_does_not_know(self) -> None:
        """Guards against a host that has not seen which versions left."""
        self.assertFalse(self.history.has_watched(releasehistory.WINDOW_S - 1))
        self.assertTrue(self.history.has_watched(releasehistory.WINDOW_S))

    def test_version_that_has_left_counts(self) -> None:
        """Guards against streams of a version that has just left."""
        self.register('a', ORIGIN.release)
        self.register('b', OTHER.release)
        self.find(100.0)
        self.runners.retract(ids.Runner('a'), 100.0)
        self.assertIsNone(self.find(100.0 + releasehistory.WINDOW_S / 2))
        self.assertEqual(
            OTHER.release, self.find(101.0 + releasehistory.WINDOW_S)
        )
