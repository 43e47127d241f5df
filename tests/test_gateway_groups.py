"""Groups of hosts in a large system, and their shares."""

import collections
import random

import anyio
import testtools

from apricotlanding import addresses
from apricotlanding import clocks
from apricotlanding import ids
from apricotlandingd.gateway.decisions import groupusage
from apricotlandingd.gateway.decisions import queueing
from apricotlandingd.gateway.decisions import quotas
from apricotlandingd.gateway import dialect
from apricotlandingd.gateway.hosts import groups
from apricotlandingd.gateway.hosts import mesh
from apricotlandingd.gateway.hosts import messages
from apricotstandins import processes
import gatewayparts
import test_foreign_messages

HOSTS = [ids.Host(f'host-{number}') for number in range(61)]
FESTIN = gatewayparts.make_organisation(1000.0)


def make_entries(count: int, slots: int = 7) -> list[dialect.RunnerEntry]:
    return [
        gatewayparts.make_entry(f'i-{number}', slots)
        for number in range(count)
    ]


def make_partitions(hosts: list[ids.Host]) -> list[groups.Partition]:
    """Return the groups as each host sees them."""
    return [
        groups.make_partition(
            host, [other for other in hosts if other != host]
        )
        for host in hosts
    ]


class TestPartition(testtools.TestCase):
    """Sixty-one hosts."""

    def test_few_hosts_are_one_group(self) -> None:
        for found in make_partitions(HOSTS[:17]):
            self.assertEqual(1, found.count)
            self.assertEqual(5, len(found.select_runners(make_entries(5))))

    def test_groups_are_of_equal_size(self) -> None:
        own = [found.own for found in make_partitions(HOSTS)]
        sizes = collections.Counter(own).values()
        self.assertEqual(5, len(sizes))
        self.assertLessEqual(max(sizes) - min(sizes), 1)

    def test_all_hosts_see_the_same_groups(self) -> None:
        first, *rest = make_partitions(HOSTS)
        for found in rest:
            self.assertEqual(first.groups, found.groups)

    def test_lost_host_moves_only_the_edges(self) -> None:
        before = groups.make_partition(HOSTS[0], HOSTS[1:])
        after = groups.make_partition(HOSTS[0], HOSTS[1:-1])
        moved = [
            host
            for host, group in after.groups.items()
            if before.groups[host] != group
        ]
        self.assertLessEqual(len(moved), 4)

    def test_isolated_host_uses_its_share_of_each_runner(self) -> None:
        # Guards against a host that reaches no coordinator and overloads
        # runners, or leaves some of them unused.
        found = groups.Partition(5, 2)
        entries = found.select_runners(make_entries(4))
        self.assertEqual(4, len(entries))
        self.assertEqual({2}, {entry.slots for entry in entries})


class TestGroupUses(testtools.TestCase):
    """An organisation whose callers come to four groups."""

    def make_uses(
        self, asked: tuple[float, ...]
    ) -> list[groupusage.GroupUsage]:
        found = [groupusage.GroupUsage() for _ in asked]
        for own, uses in enumerate(found):
            for group, units in enumerate(asked):
                if group != own:
                    uses.update(group, {FESTIN.name: units}, {}, True, 0.0)
        return found

    def find_parts(self, asked: tuple[float, ...]) -> list[float]:
        return [
            uses.find_share(FESTIN, own, len(asked))
            for uses, own in zip(self.make_uses(asked), asked, strict=True)
        ]

    def test_parts_add_up_to_the_whole(self) -> None:
        for asked in ((0, 0, 0, 0), (10, 20, 3000, 40), (500, 500, 0, 0)):
            self.assertAlmostEqual(1.0, sum(self.find_parts(asked)))

    def test_group_that_asks_alone_has_nearly_all(self) -> None:
        self.assertGreater(self.find_parts((900, 0, 0, 0))[0], 0.85)

    def test_group_that_heard_nobody_takes_an_equal_part(self) -> None:
        part = groupusage.GroupUsage().find_share(FESTIN, 5000.0, 4)
        self.assertEqual(0.25, part)

    def test_groups_together_grant_the_allowance_once(self) -> None:
        # Guards against an organisation that gets four bursts at once, because
        # each group has a bucket of its own and hears of the others' use a
        # third of a second later.
        uses = self.make_uses((800, 800, 800, 800))
        buckets = [quotas.Quotas(0.0, -100.0) for _ in uses]
        total = 0.0
        for step in range(500):
            for heard, bucket in zip(uses, buckets, strict=True):
                part = heard.find_share(FESTIN, 800, 4)
                if (
                    gatewayparts.take_units(
                        bucket, FESTIN, 10, 0.0, step / 100, part
                    )
                    is None
                ):
                    total += 10
        self.assertLessEqual(total, 1000 + 5 * 1000 + 40)


class TestGroupsOfPeers(testtools.TestCase):
    """One of sixty-one hosts, as it hears the others."""

    def setUp(self) -> None:
        super().setUp()
        self.mesh = mesh.Mesh(
            HOSTS[0],
            addresses.Address('127.0.0.1', 1),
            (),
            random.Random(1),
        )
        self.number = 0
        self.deliver_all(0.0)
        self.near = [
            host for host in HOSTS[1:] if self.mesh.partition.is_near(host)
        ]
        self.far = [host for host in HOSTS[1:] if host not in self.near]

    def deliver(self, host: ids.Host, now: float) -> None:
        self.number += 1
        self.mesh.handle_state(
            messages.HostState(
                host=host,
                incarnation=ids.Incarnation(f'{host}/1'),
                state_address='127.0.0.1:9',
                peers_address='127.0.0.1:9',
                number=self.number,
                is_stopping=False,
                reads_store=True,
                positions=[1, 1],
                running={gatewayparts.make_start('r1'): 1},
                usage={},
                ranks={gatewayparts.POOL: [queueing.Rank(0, 0, False, 1.0)]},
                hints={},
            ),
            now,
        )

    def deliver_all(self, now: float) -> None:
        for host in HOSTS[1:]:
            self.deliver(host, now)

    def test_only_near_peers_count(self) -> None:
        self.deliver_all(0.1)
        count = self.mesh.count_running(gatewayparts.make_start('r1'))
        self.assertEqual(len(self.near), count)
        self.assertEqual(count, len(self.mesh.list_waiting(gatewayparts.POOL)))
        self.assertEqual(61, self.mesh.count_hosts())

    def test_far_peer_that_is_heard_in_its_turn_is_not_silent(self) -> None:
        for host in self.near:
            self.deliver(host, 5.0)
        self.mesh.drop_silent(5.0)
        self.assertEqual(60, len(self.mesh.list_heard()))
        self.assertEqual(0.0, self.mesh.find_silent_share())

    def test_silent_near_peer_keeps_its_share(self) -> None:
        for host in self.near[1:]:
            self.deliver(host, 1.0)
        self.mesh.drop_silent(1.0)
        share = 1 / (1 + len(self.near))
        self.assertAlmostEqual(share, self.mesh.find_silent_share())

    def test_far_peers_that_are_gone_are_dropped_in_the_end(self) -> None:
        for host in self.near:
            self.deliver(host, 60.0)
        self.mesh.drop_silent(60.0)
        self.assertEqual(len(self.near), len(self.mesh.peers))


class TestFarHosts(testtools.TestCase):
    """One of forty-one hosts, and one of another group that starts."""

    def test_host_that_starts_is_answered_at_once(self) -> None:
        # Guards against refusals after all hosts were lost: a third of the
        # first second's requests were refused as over the allowance. Each host
        # heard those that had started before it only in turn, up to seven
        # seconds later, and kept their shares of all allowances reserved.
        ports = [processes.find_port() for _ in range(2)]
        own, far = [addresses.Address('127.0.0.1', port) for port in ports]
        found = mesh.Mesh(HOSTS[0], own, (), random.Random(1))
        now = clocks.read_monotonic()
        partition = groups.make_partition(HOSTS[0], HOSTS[1:41])
        name = next(
            host for host in HOSTS[1:41] if not partition.is_near(host)
        )
        for host in HOSTS[1:41]:
            if host != name:
                found.handle_state(self.make_state(host, str(own)), now)
        found.make_state = lambda number, scope, hints: self.make_state(
            HOSTS[0], str(own)
        )
        found.make_change = lambda number: test_foreign_messages.make_change()

        async def scenario() -> None:
            async with anyio.create_task_group() as group:
                async with await anyio.create_udp_socket(
                    local_host=far.host, local_port=far.port
                ) as receiver:
                    group.start_soon(found.run)
                    await anyio.sleep(0.1)
                    state = self.make_state(name, str(far))
                    found.handle_state(state, clocks.read_monotonic())
                    with anyio.fail_after(0.5):
                        await receiver.receive()
                    group.cancel_scope.cancel()

        anyio.run(scenario)

    def make_state(self, host: ids.Host, address: str) -> messages.HostState:
        return test_foreign_messages.make_state(
            host=host,
            incarnation=f'{host}/1',
            state_address=address,
            hints={},
        )
