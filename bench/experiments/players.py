"""Players: the emulator, and the users' bench program."""

__all__ = ('BenchPlayer', 'EmulatorPlayer', 'Player')

import json
import logging
import queue
import shutil
import subprocess
from abc import ABC, abstractmethod
from concurrent.futures import Executor, ProcessPoolExecutor, ThreadPoolExecutor
from contextlib import ExitStack
from pathlib import Path
from typing import Any

from attrs import define, field, frozen

from bench.emulator.scenario import ScenarioError, load_scenario
from bench.emulator.simulation import Simulation
from bench.experiments.mechanisms import MECHANISMS, Patch, constant_patch
from bench.experiments.plan import Arm, Experiment, ExperimentError, Play
from bench.experiments.results import PlayResult
from dragonflyshift._internal.carried.policies.admission import AdmissionPolicy
from dragonflyshift._internal.carried.policies.placement import FlowPlacement
from dragonflyshift._internal.exceptions import KernelError
from dragonflyshift._internal.kernel.registry import Plugin, find_plugin

ROOT = Path(__file__).resolve().parents[2]
_MECHANISMS = {mechanism.name: mechanism for mechanism in MECHANISMS}
_PLUGIN_KINDS: dict[str, type[Plugin]] = {
    'opening-policy': AdmissionPolicy,
    'flow-placement': FlowPlacement,
}


class Player(ABC):
    """Plays a day of an experiment with one of its arms."""

    @abstractmethod
    def check(self, plan: Experiment) -> None:
        """Raise ExperimentError if a day or an arm can't be played."""

    @abstractmethod
    def create_executor(self, jobs: int) -> Executor:
        """Return an executor for ``jobs`` plays at a time."""

    @abstractmethod
    def play(self, arm: Arm, play: Play) -> PlayResult:
        """Play a day; raise ExperimentError if that fails."""


@frozen
class EmulatorPlayer(Player):
    """Plays scenarios in the emulator."""

    def check(self, plan: Experiment) -> None:
        """Raise ExperimentError if a scenario or a mechanism is unknown."""
        try:
            for day in plan.days:
                load_scenario(day)
        except ScenarioError as exc:
            raise ExperimentError(str(exc)) from exc
        for arm in plan.arms:
            _find_plugins(arm)
            _constant_patches(arm)
            unknown = set(arm.without) - set(_MECHANISMS)
            if unknown:
                raise ExperimentError(
                    f'arm {arm.name}: unknown mechanisms: {sorted(unknown)}'
                )

    def create_executor(self, jobs: int) -> Executor:
        """Return an executor whose workers are processes."""
        return ProcessPoolExecutor(jobs)

    def play(self, arm: Arm, play: Play) -> PlayResult:
        """Run a scenario with the plug-ins and settings of the arm."""
        logging.disable(logging.CRITICAL)
        simulation = Simulation(
            load_scenario(play.day), play.seed, **_find_plugins(arm)
        )
        with ExitStack() as stack:
            for name in arm.without:
                stack.enter_context(_MECHANISMS[name].disabled())
            for patch in _constant_patches(arm):
                stack.enter_context(patch.applied())
            statistics = simulation.run()
        total = statistics.total()
        figures = {
            'in_time': total.in_time,
            'late': total.late,
            'failed': total.failed,
            'worst': statistics.worst_worth(),
        }
        return PlayResult(
            play, total.worth, len(statistics.violations), figures
        )


@define
class BenchPlayer(Player):
    """Plays days of the users' deployments through their bench program.

    ``program`` is the path of the program and ``sites`` the folder of the site
    files. Each play uses one of the clones of this repository in ``work``.
    """

    program: Path
    sites: Path
    work: Path
    _clones: 'queue.SimpleQueue[Path]' = field(factory=queue.SimpleQueue)

    def check(self, plan: Experiment) -> None:
        """Raise ExperimentError if a program, site or revision is missing."""
        if not self.program.is_file():
            raise ExperimentError(f'no bench program at {self.program}')
        for day in plan.days:
            self._site_and_day(day)
        for arm in plan.arms:
            if arm.plugins or arm.without or arm.constants:
                raise ExperimentError(
                    f'arm {arm.name}: the bench program plays revisions only'
                )
            _resolve_revision(arm)

    def create_executor(self, jobs: int) -> Executor:
        """Return an executor whose workers are threads with a clone each."""
        for number in range(jobs):
            clone = self.work / f'clone-{number}'
            if not clone.exists():
                _run('git', 'clone', '--quiet', str(ROOT), str(clone))
            self._clones.put(clone)
        return ThreadPoolExecutor(jobs)

    def play(self, arm: Arm, play: Play) -> PlayResult:
        """Play a day with the revision of the arm, in a free clone."""
        clone = self._clones.get()
        try:
            return self._play_in(clone, arm, play)
        finally:
            self._clones.put(clone)

    def _play_in(self, clone: Path, arm: Arm, play: Play) -> PlayResult:
        revision = _resolve_revision(arm)
        _run('git', 'fetch', '--quiet', str(ROOT), revision, cwd=clone)
        _run('git', 'checkout', '--quiet', '--force', revision, cwd=clone)
        site, day = self._site_and_day(play.day)
        journal = clone / 'journal'
        earlier = set(journal.glob('*.json'))
        command = [str(self.program), 'run', str(site), day, '--no-cpu']
        command += ['--seed', str(play.seed), '--jobs', '1']
        command += ['--why', f'trial: {arm.name} ({revision[:8]})']
        _run(*command, cwd=clone)
        entries = sorted(set(journal.glob('*.json')) - earlier)
        if not entries:
            raise ExperimentError(f'{play}: the bench program left no entry')
        shutil.copy(entries[-1], ROOT / 'journal')
        return _read_entry(play, entries[-1])

    def _site_and_day(self, text: str) -> tuple[Path, str]:
        name, _space, day = text.rpartition(' ')
        site = self.sites / f'{name}.toml'
        if not (name and site.is_file()):
            raise ExperimentError(f'day {text!r}: no site file {site}')
        if f'name = "{day}"' not in site.read_text():
            raise ExperimentError(f'day {text!r}: {site} has no such day')
        return site, day


def _find_plugins(arm: Arm) -> dict[str, Any]:
    found = {}
    for kind, name in arm.plugins.items():
        base = _PLUGIN_KINDS.get(kind)
        if base is None:
            raise ExperimentError(
                f'arm {arm.name}: unknown kind of plug-in: {kind}'
            )
        try:
            found[_ARGUMENTS[kind]] = find_plugin(base, name)
        except KernelError as exc:
            raise ExperimentError(f'arm {arm.name}: {exc}') from exc
    return found


def _constant_patches(arm: Arm) -> list[Patch]:
    try:
        return [constant_patch(*each) for each in arm.constants.items()]
    except LookupError as exc:
        raise ExperimentError(
            f'arm {arm.name}: unknown constant: {exc.args[0]}'
        ) from exc


def _resolve_revision(arm: Arm) -> str:
    return _run('git', 'rev-parse', f'{arm.revision}^{{commit}}', cwd=ROOT)


def _run(*command: str, cwd: Path | None = None) -> str:
    """Run a command and return its output; raise ExperimentError on failure."""
    done = subprocess.run(
        command, cwd=cwd, capture_output=True, text=True, check=False
    )
    if done.returncode:
        reason = (done.stderr or done.stdout).strip().splitlines()[-1:]
        raise ExperimentError(f'{" ".join(command)}: {"".join(reason)}')
    return done.stdout.strip()


def _read_entry(play: Play, path: Path) -> PlayResult:
    entry = json.loads(path.read_text())
    day = entry['days'][0]
    return PlayResult(
        play,
        worth=day['G'],
        broken=len(day['rules']),
        figures={'served': day['served'], 'failed': day['failed']},
        source=entry['id'],
    )


_ARGUMENTS = {'opening-policy': 'policy', 'flow-placement': 'placement'}
