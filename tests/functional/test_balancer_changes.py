"""A flow that is running survives every change of the balancers."""

import asyncio
import unittest

from tests.lib.cases import ClusterTest


class BalancersTest(ClusterTest):
    """Balancers are replaced while everything flows."""

    async def test_replaced_in_turn_and_then_all_at_once(self):
        async with self.load(board_seconds=2.0) as summary:
            await self.wait_for_requests()
            first = tuple(self.cluster.balancers)
            await self._add_two()
            for balancer in first:
                status = await self.cluster.remove_balancer(balancer)
                self.assertEqual(status, 0)
            old = tuple(self.cluster.balancers)
            await self._add_two()
            removals = map(self.cluster.remove_balancer, old)
            self.assertEqual(await asyncio.gather(*removals), [0, 0])
        await self.assert_guarantees(summary)
        self.assert_counts(summary, failed_handshakes=0)

    async def _add_two(self):
        await asyncio.gather(
            self.cluster.add_balancer(),
            self.cluster.add_balancer(),
        )

    async def test_killed_without_warning(self):
        async with self.load() as summary:
            await self.wait_for_requests()
            await self.cluster.kill_balancer(self.cluster.balancers[0])
            await asyncio.sleep(0.5)
            await self.cluster.update_fabric()
            await asyncio.sleep(0.5)
        await self.assert_guarantees(summary)


if __name__ == '__main__':
    unittest.main()
