"""The demo stops all its child processes when it is interrupted.

A SIGINT under load could leave daemons running after the demo exits.
"""

import asyncio
import os
import signal
import sys
import unittest
from pathlib import Path

from tests.lib.processes import ROOT
from tests.lib.waiting import eventually

INTERRUPTED_EXIT_CODE = 130
STARTUP_LINES = 2


async def _start_demo(*flags: str) -> asyncio.subprocess.Process:
    paths = (str(ROOT / 'src'), str(ROOT))
    return await asyncio.create_subprocess_exec(
        sys.executable,
        '-c',
        # A test run in the background inherits an ignored SIGINT, so the
        # default handler is restored.
        'import signal, sys\n'
        'signal.signal(signal.SIGINT, signal.default_int_handler)\n'
        'from tests.lib.demo import main\n'
        'sys.exit(main())\n',
        *flags,
        cwd=ROOT,
        env={**os.environ, 'PYTHONPATH': os.pathsep.join(paths)},
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.STDOUT,
    )


def _child_pids(pid: int) -> list[int]:
    text = Path(f'/proc/{pid}/task/{pid}/children').read_text()
    return [int(each) for each in text.split()]


def _is_running(pid: int) -> bool:
    return Path(f'/proc/{pid}').exists()


class DemoTest(unittest.IsolatedAsyncioTestCase):
    """A small demo receives SIGINT under load."""

    async def test_sigint_under_load_stops_all_children(self):
        demo = await _start_demo('--scale', '0.2', '--seconds', '60')
        for _ in range(STARTUP_LINES):
            self.assertTrue(await demo.stdout.readline())
        child_pids = _child_pids(demo.pid)
        self.assertGreater(len(child_pids), 10)
        demo.send_signal(signal.SIGINT)
        output, _errors = await demo.communicate()
        self.assertEqual(demo.returncode, INTERRUPTED_EXIT_CODE, output)

        async def all_children_exited() -> bool:
            return not any(map(_is_running, child_pids))

        await eventually(all_children_exited, what='no child process left')


if __name__ == '__main__':
    unittest.main()
