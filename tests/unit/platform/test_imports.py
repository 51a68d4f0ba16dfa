"""A start must be short on a quarter of a core.

Imports take most of it, so each role may import only what it uses.
"""

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
# Importing one of them takes more than a tenth of a start's processor time.
_EXPENSIVE_MODULES = frozenset(
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
            loaded = _imported_modules(role)
            with self.subTest(role=role):
                self.assertEqual(loaded & _EXPENSIVE_MODULES, set())
                own_modules = {
                    name for name in loaded if name.startswith('dragonfly')
                }
                self.assertLess(len(own_modules), 60)

    def test_role_imports_nothing_of_the_other(self) -> None:
        other_roles = {'balancer': 'sidecar', 'sidecar': 'balancer'}
        for role, other_role in other_roles.items():
            loaded = _imported_modules(role)
            with self.subTest(role=role):
                self.assertNotIn(
                    f'dragonflyshift._internal.carried.{other_role}',
                    loaded,
                )


def _imported_modules(role: str) -> set[str]:
    completed = subprocess.run(
        [sys.executable, '-S', '-c', _PROGRAM.format(role=role)],
        env={'PYTHONPATH': os.pathsep.join((str(_SOURCE), _LIBRARIES))},
        capture_output=True,
        check=True,
        text=True,
    )
    return set(completed.stdout.split())
