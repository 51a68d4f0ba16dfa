"""Run seeds of the soak, and keep the logs of those with violations."""

import argparse
import asyncio
import io
import shutil
import subprocess
import sys
import tarfile
import tempfile
import time
from collections.abc import Sequence
from pathlib import Path

from bench.soak.fleet import ROOT
from bench.soak.runner import run_seed


def main(arguments: Sequence[str]) -> int:
    """Run the seeds one by one; return 1 if any has violations, otherwise 0."""
    parser = argparse.ArgumentParser(prog='python -m bench.soak')
    parser.add_argument('--seed', type=int, help='default: from the time')
    parser.add_argument('--seeds', type=int, default=1, help='how many')
    parser.add_argument('--seconds', type=float, default=10, help='of faults')
    parser.add_argument(
        '--upgrade-from',
        metavar='REVISION',
        help='begin with the build of a git revision and replace it',
    )
    parser.add_argument('--logs', type=Path, help='where failed logs go')
    options = parser.parse_args(arguments)
    first = int(time.time()) if options.seed is None else options.seed
    with tempfile.TemporaryDirectory() as folder:
        build_before = None
        if options.upgrade_from:
            build_before = _export_source(options.upgrade_from, Path(folder))
        failed = sum(
            _run_seed(seed, options.seconds, options.logs, build_before)
            for seed in range(first, first + options.seeds)
        )
    print(f'{options.seeds - failed} seeds passed, {failed} failed')
    return int(failed > 0)


def _export_source(revision: str, folder: Path) -> Path:
    """Write the package of a git revision to a folder; return its path."""
    archive = subprocess.run(
        ['git', 'archive', revision, 'src'],
        cwd=ROOT,
        check=True,
        capture_output=True,
    )
    with tarfile.open(fileobj=io.BytesIO(archive.stdout)) as tar:
        tar.extractall(folder, filter='data')
    return folder / 'src'


def _run_seed(
    seed: int, seconds: float, logs: Path | None, build_before: Path | None
) -> bool:
    folder = Path(tempfile.mkdtemp(prefix=f'soak-{seed}-'))
    result = asyncio.run(run_seed(seed, seconds, folder, build_before))
    outcome = 'failed' if result.violations else 'passed'
    print(
        f'seed {seed} {outcome}: {len(result.faults)} faults, '
        f'{result.answered} answered, {result.failed} failed',
        flush=True,
    )
    for violation in result.violations:
        print(f'  {violation}')
    if result.violations and logs is not None:
        print(f'  faults: {", ".join(result.faults)}')
        shutil.copytree(folder, logs / folder.name)
    shutil.rmtree(folder)
    return bool(result.violations)


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
