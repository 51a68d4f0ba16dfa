"""Starts are short on a quarter of a core: roles import what they use."""

import os
import subprocess
import sys
import sysconfig
import unittest
from pathlib import Path

_SOURCE = Path(__file__).resolve().parents[3] / 'src'
_LIBRARIES = sysconfig.get_path('purelib')
_PROGRAM = """
import sys
import dragonflyshift.platform.__main__
import dragonflyshift.platform.running
import dragonflyshift._internal.carried.{role}.node
print(' '.join(sorted(sys.modules)))
"""
# Each of them costs a start more than a tenth of its processor time.
_HEAVY = frozenset(
    (
        'aioquic',
        'cattrs',
        'cleo',
        'cryptography',
        'httpx',
        'opentelemetry',
        'pathlib',
        'prometheus_client',
        'reactivex',
        'statsd',
        'urllib.parse',
    )
)


class ImportsTest(unittest.TestCase):
    def test_roles_import_only_what_they_use(self) -> None:
        for role in ('balancer', 'sidecar'):
            loaded = _modules_of(role)
            with self.subTest(role=role):
                self.assertEqual(loaded & _HEAVY, set())
                ours = {name for name in loaded if name.startswith('dragonfly')}
                self.assertLess(len(ours), 60)

    def test_role_imports_nothing_of_the_other(self) -> None:
        other = {'balancer': 'sidecar', 'sidecar': 'balancer'}
        for role, unused in other.items():
            loaded = _modules_of(role)
            with self.subTest(role=role):
                self.assertNotIn(
                    f'dragonflyshift._internal.carried.{unused}',
                    loaded,
                )


def _modules_of(role: str) -> set[str]:
    done = subprocess.run(
        [sys.executable, '-S', '-c', _PROGRAM.format(role=role)],
        env={'PYTHONPATH': os.pathsep.join((str(_SOURCE), _LIBRARIES))},
        capture_output=True,
        check=True,
        text=True,
    )
    return set(done.stdout.split())
