"""Tests the roles as the platform runs them.

The build installs the newest libraries that requirements.txt allows, and the
roles run without the site module. A newer library that needs a module which
the roles block fails only there.
"""

import shutil
import subprocess
import tempfile
import unittest
from pathlib import Path

from tests.lib.carried_harness import (
    BALANCER_HOST,
    ROOT,
    SIDECAR_HOST,
    CarriedHarness,
    fetch_metrics,
)


class DeployedRolesTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.root = Path(folder.name)
        shutil.copytree(ROOT / 'src', self.root / 'src')
        shutil.copytree(ROOT / 'deploy', self.root / 'deploy')
        shutil.copy(ROOT / 'requirements.txt', self.root)
        subprocess.run(
            ['sh', 'deploy/build.sh'], cwd=self.root, check=True, timeout=240
        )
        self.harness = CarriedHarness(
            self.root,
            interpreter_options=('-S',),
            python_path=self.root / 'target' / 'deps',
        )
        self.addAsyncCleanup(self.harness.close)

    async def test_both_roles_serve_their_metrics(self) -> None:
        await self.harness.start()
        for host in (BALANCER_HOST, SIDECAR_HOST):
            with self.subTest(host=host):
                await fetch_metrics(host)


if __name__ == '__main__':
    unittest.main()
