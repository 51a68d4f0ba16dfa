"""Retries of a save whose backend server is killed, in both versions.

A save may have run before the kill. The product reports its outcome as
unknown; the naive version retries it and runs it twice.
"""

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

    async def save_with_killed_backend(self) -> Response:
        """Return the response to a save whose backend server is killed."""
        cluster = self.cluster
        for instance in cluster.instances:
            await instance.set_behavior(delay=1)
        conn = await cluster.connect(LISTS)
        headers = (('x-request-id', 'running'),)
        # A body that has been read can't be sent again, which would prevent
        # a retry, so this save has none.
        stream = conn.open('POST', SAVE, headers)
        await self.wait_for_requests()
        journal = await cluster.journal()
        await cluster.find_instance(journal[0].instance).kill_backend()
        return await stream.read_response(8)

    async def assert_executed(self, *ids: str) -> None:
        """Check the IDs of the requests that the backend servers ran."""
        journal = await self.cluster.journal()
        self.assertEqual([each.id for each in journal], list(ids))


class KilledBackendTest(KilledBackend):
    """The product, which doesn't retry a save that may have run."""

    plan = evolve(ONE_SERVICE, backend_flags=('--echo',))

    async def test_outcome_of_interrupted_save_is_unknown(self):
        response = await self.save_with_killed_backend()
        self.assertEqual(response.outcome, UNKNOWN, response)
        await self.assert_executed('running')


class NaiveRetryTest(KilledBackend):
    """The product with only the retry policy of the naive version."""

    plan = evolve(
        KilledBackendTest.plan,
        daemon_flags=(
            *ONE_SERVICE.daemon_flags,
            '--plugin-modules=bench.naive',
            '--retry-policy=any-error',
        ),
    )

    async def test_naive_retry_runs_the_save_twice(self):
        response = await self.save_with_killed_backend()
        self.assertEqual(response.status, 201, response)
        await self.assert_executed('running', 'running')


if __name__ == '__main__':
    unittest.main()
