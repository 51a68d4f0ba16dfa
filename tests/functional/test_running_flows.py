"""A flow that is running survives any planned change."""

import asyncio
import unittest

from attrs import evolve

from tests.lib import answers
from tests.lib.cases import ONE_SERVICE, ClusterTest
from tests.lib.cluster import LISTS
from tests.lib.plan import Programs

BOARD_SECONDS = 4.0
OLD_KEY = f'1:{"5a" * 32}'
NEW_KEY = f'2:{"a5" * 32}'


class BalancersTest(ClusterTest):
    """Balancers are replaced while everything flows."""

    async def test_replaced_in_turn_and_then_all_at_once(self):
        async with self.load(board_seconds=3.0) as summary:
            await self.wait_work()
            for balancer in tuple(self.cluster.balancers):
                await self.cluster.add_balancer()
                status = await self.cluster.remove_balancer(balancer)
                self.assertEqual(status, 0)
            old = tuple(self.cluster.balancers)
            await asyncio.gather(
                self.cluster.add_balancer(),
                self.cluster.add_balancer(),
            )
            removals = map(self.cluster.remove_balancer, old)
            self.assertEqual(await asyncio.gather(*removals), [0, 0])
        await self.assert_promises(summary)
        self.assert_counts(summary, failed_handshakes=0)

    async def test_killed_without_warning(self):
        async with self.load() as summary:
            await self.wait_work()
            await self.cluster.kill_balancer(self.cluster.balancers[0])
            await asyncio.sleep(1)
            await self.cluster.update_fabric()
            await asyncio.sleep(1)
        await self.assert_promises(summary)


class EndpointsTest(ClusterTest):
    """An endpoint goes away as planned while its flows run."""

    async def test_sidecar_stops_while_boards_exports_and_uploads_run(self):
        async with self.load(board_seconds=3.0) as summary:
            await self.wait_work(10)
            leaving = self.cluster.instances[0]
            self.assertEqual(await leaving.sidecar.stop(), 0)
            await leaving.sidecar.start()
            await asyncio.sleep(0.5)
        await self.assert_promises(summary)

    async def test_endpoint_and_balancer_change_in_the_same_second(self):
        async with self.load() as summary:
            await self.wait_work(10)
            await self.cluster.add_balancer()
            leaving = self.cluster.instances[0]
            statuses = await asyncio.gather(
                leaving.sidecar.stop(),
                self.cluster.remove_balancer(self.cluster.balancers[0]),
            )
            self.assertEqual(statuses, [0, 0])
        await self.assert_promises(summary)

    async def test_endpoint_leaves_the_register_while_its_flow_runs(self):
        conn = await self.cluster.connect(LISTS)
        home = self.home(conn)
        board = conn.open('GET', f'/boards/{BOARD_SECONDS}')
        await self.wait_work()
        await self.cluster.register.remove_endpoint(LISTS, home.name)
        other = next(each for each in self.cluster.instances if each != home)
        await self.wait_version(
            f'dragonflyshift/service/{LISTS}',
            2,
            self.daemons(),
        )
        fresh = await self.cluster.connect(LISTS)
        self.assertIs(self.home(fresh), other)
        answer = await board.answer(BOARD_SECONDS * 2)
        self.assertEqual(answer.failure, '')
        self.assertEqual(answer.body, answers.board_body(BOARD_SECONDS))


class KeyRotationTest(ClusterTest):
    """Fleet keys are rotated by restarting every daemon as planned."""

    plan = evolve(ONE_SERVICE, fleet_keys=f'{OLD_KEY},{NEW_KEY}')

    async def test_new_key_first_while_everything_flows(self):
        cluster = self.cluster
        plan = evolve(self.plan, fleet_keys=f'{NEW_KEY},{OLD_KEY}')
        async with self.load(board_seconds=3.0) as summary:
            await self.wait_work(10)
            cluster.programs = Programs(plan, cluster.network, cluster.issued)
            for balancer in tuple(cluster.balancers):
                await cluster.add_balancer()
                self.assertEqual(await cluster.remove_balancer(balancer), 0)
            for instance in cluster.instances:
                self.assertEqual(await instance.sidecar.stop(), 0)
                instance.sidecar = cluster.programs.sidecar(
                    LISTS,
                    instance.endpoint,
                )
                await instance.sidecar.start()
        await self.assert_promises(summary)
        conn = await cluster.connect(LISTS)
        self.assertEqual(conn.peer_id[0], 2)


if __name__ == '__main__':
    unittest.main()
