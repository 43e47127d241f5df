"""Orders to engines: fenced if the engine checks, otherwise repeated."""

import json
import time
import typing as ty

from apricotstandins import callers
from apricotstandins import processes
import systems


class TestOrders(systems.SystemTestCase):
    """Engine 1 checks fencing numbers, engine 2 does not."""

    def test_engines_follow_the_bundle(self) -> None:
        self.declare(2, 'v7')
        for name in ('planner-1', 'planner-2'):
            self.wait_last(name, 'v7')

    def test_late_order_of_an_old_owner(self) -> None:
        # The owner of the pool is replaced, and an order of the old owner
        # arrives late. Engine 1 rejects it by its fencing number; engine 2
        # applies it, and the new owner repeats its own order.
        self.declare(2, 'v7')
        self.wait_last('planner-1', 'v7')
        owner = self.system.find_owner('pool/planners')
        process = self.system.find_process(owner)
        process.kill()
        processes.wait_until(
            lambda: self.read_orders('planner-1')[-1]['epoch'] > 1,
            'orders of the next owner',
        )
        late = {'epoch': 1, 'load': 'v6', 'role': None}
        self.assertEqual(409, self.order('planner-1', late))
        self.assertEqual(200, self.order('planner-2', late))
        self.assertEqual('v7', self.read_orders('planner-1')[-1]['load'])
        self.wait_last('planner-2', 'v7')

    def declare(self, version: int, load: str) -> None:
        value = self.system.make_bundle(version, version - 1)
        for pool in value['pools']:
            for runner in pool['runners']:
                if runner['kind'] == 'engine':
                    runner['load'] = load
        reply = self.system.submit(value)
        self.assertEqual(200, reply.status)

    def order(self, name: str, order: dict[str, ty.Any]) -> int:
        address = self.system.runner_addresses[name]
        body = json.dumps(order).encode()
        return callers.call_http(address, 'POST', '/v1/orders', body).status

    def wait_last(self, name: str, load: str) -> None:
        time.sleep(0.1)
        processes.wait_until(
            lambda: any(
                item['load'] == load for item in self.read_orders(name)[-1:]
            ),
            f'{name} has {load}',
        )

    def read_orders(self, name: str) -> list[dict[str, ty.Any]]:
        found = self.system.read_witness(name)['orders']
        return ty.cast('list[dict[str, ty.Any]]', found)
