"""The demo leaves no process behind when it is interrupted."""

import asyncio
import os
import signal
import sys
import unittest
from pathlib import Path

from tests.lib.processes import ROOT
from tests.lib.waiting import eventually

INTERRUPTED = 130
STARTED_LINES = 2


async def _start(*flags: str) -> asyncio.subprocess.Process:
    paths = (str(ROOT / 'src'), str(ROOT))
    return await asyncio.create_subprocess_exec(
        sys.executable,
        '-c',
        # A test run in the background inherits an ignored SIGINT.
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


def _children(pid: int) -> list[int]:
    text = Path(f'/proc/{pid}/task/{pid}/children').read_text()
    return [int(each) for each in text.split()]


def _is_running(pid: int) -> bool:
    return Path(f'/proc/{pid}').exists()


class DemoTest(unittest.IsolatedAsyncioTestCase):
    """A small demo that gets a signal while traffic flows."""

    async def test_ctrl_c_while_traffic_flows(self):
        demo = await _start('--scale', '0.2', '--seconds', '60')
        for _ in range(STARTED_LINES):
            self.assertTrue(await demo.stdout.readline())
        children = _children(demo.pid)
        self.assertGreater(len(children), 10)
        demo.send_signal(signal.SIGINT)
        output, _errors = await demo.communicate()
        self.assertEqual(demo.returncode, INTERRUPTED, output)

        async def all_gone() -> bool:
            return not any(map(_is_running, children))

        await eventually(all_gone, what='no child process left')


if __name__ == '__main__':
    unittest.main()
