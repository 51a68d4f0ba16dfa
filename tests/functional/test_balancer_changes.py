"""Running flows survive the addition, removal and crash of balancers.

A change of balancers moves packets of a flow to a balancer that hasn't seen
the flow before, which must still steer them to the same sidecar.
"""

import asyncio
import unittest

from tests.lib.cases import ClusterTest


class BalancerChangesTest(ClusterTest):
    """Balancers are replaced or killed under load."""

    async def test_balancers_replaced_one_by_one_then_together(self):
        async with self.load(board_seconds=2.0) as summary:
            await self.wait_for_requests()
            initial_balancers = tuple(self.cluster.balancers)
            await self._add_two_balancers()
            for balancer in initial_balancers:
                exit_status = await self.cluster.remove_balancer(balancer)
                self.assertEqual(exit_status, 0)
            old_balancers = tuple(self.cluster.balancers)
            await self._add_two_balancers()
            removals = map(self.cluster.remove_balancer, old_balancers)
            self.assertEqual(await asyncio.gather(*removals), [0, 0])
        await self.assert_guarantees(summary)
        self.assert_counts(summary, failed_handshakes=0)

    async def _add_two_balancers(self):
        await asyncio.gather(
            self.cluster.add_balancer(),
            self.cluster.add_balancer(),
        )

    async def test_balancer_killed(self):
        async with self.load() as summary:
            await self.wait_for_requests()
            await self.cluster.kill_balancer(self.cluster.balancers[0])
            await asyncio.sleep(0.5)
            await self.cluster.update_fabric()
            await asyncio.sleep(0.5)
        await self.assert_guarantees(summary)


if __name__ == '__main__':
    unittest.main()
