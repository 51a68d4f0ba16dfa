"""A backend server that is killed while it runs a save, in both versions."""

import unittest

from attrs import evolve

from bench.naive import NAIVE_FLAGS
from tests.lib.cases import ONE_SERVICE, ClusterTest
from tests.lib.cluster import LISTS
from tests.lib.stream import UNKNOWN, Response

SAVE = '/lists/1/edits'
FLAGS = (*ONE_SERVICE.daemon_flags, *NAIVE_FLAGS)


class KilledBackend(ClusterTest):
    """A backend server is killed while it runs a save."""

    async def save_through_a_kill(self) -> Response:
        """Return the answer to a save whose backend server is killed."""
        cluster = self.cluster
        for instance in cluster.instances:
            await instance.set_behavior(delay=1)
        conn = await cluster.connect(LISTS)
        headers = (('x-request-id', 'running'),)
        # A body that was read can't be sent again, so this save has none.
        stream = conn.open('POST', SAVE, headers)
        await self.wait_for_requests()
        journal = await cluster.journal()
        await cluster.find_instance(journal[0].instance).kill_backend()
        return await stream.read_response(8)

    async def assert_ran(self, *ids: str) -> None:
        """Compare the ids of what the backend servers ran."""
        journal = await self.cluster.journal()
        self.assertEqual([each.id for each in journal], list(ids))


class KilledBackendTest(KilledBackend):
    """The product."""

    plan = evolve(ONE_SERVICE, backend_flags=('--echo',))

    async def test_save_that_ran_is_unknown(self):
        answer = await self.save_through_a_kill()
        self.assertEqual(answer.outcome, UNKNOWN, answer)
        await self.assert_ran('running')


class NaiveRetryTest(KilledBackend):
    """Of the naive version only its retries."""

    plan = evolve(
        KilledBackendTest.plan,
        daemon_flags=(
            *ONE_SERVICE.daemon_flags,
            '--plugin-modules=bench.naive',
            '--retry-policy=any-error',
        ),
    )

    async def test_naive_retry_runs_the_save_twice(self):
        answer = await self.save_through_a_kill()
        self.assertEqual(answer.status, 201, answer)
        await self.assert_ran('running', 'running')


if __name__ == '__main__':
    unittest.main()
