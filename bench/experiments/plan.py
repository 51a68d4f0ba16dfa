"""The plan of an experiment, read from a TOML file."""

__all__ = ('Arm', 'Experiment', 'ExperimentError', 'Play', 'load_experiment')

import tomllib
from itertools import product
from pathlib import Path

import cattrs
from attrs import field, frozen
from cattrs.errors import BaseValidationError


class ExperimentError(Exception):
    """The experiment can't be read or played."""


@frozen
class Arm:
    """One of the ways that are compared.

    ``plugins`` maps kinds of plug-ins to names, ``without`` lists mechanisms
    (``bench.experiments.mechanisms``) to switch off, and ``constants`` maps
    module constants to other values; these apply to the emulator. A constant
    that is the default of a field keeps its value there. ``revision`` is the
    git revision that the bench program plays.

    Example, with the constant named from the package of carried flows on::

        [[arms]]
        name = "one offer to an idle server"
        constants = { "policies.offers.MAX_IDLE_OFFERS" = 1 }
    """

    name: str
    plugins: dict[str, str] = field(factory=dict)
    without: tuple[str, ...] = ()
    constants: dict[str, float] = field(factory=dict)
    revision: str = 'HEAD'


@frozen(order=True)
class Play:
    """One day that one arm plays with one seed."""

    arm: str
    day: str
    seed: int


@frozen
class Experiment:
    """Arms that play all days with all seeds.

    ``player`` is ``emulator``, whose days are scenarios, or ``bench``, whose
    days are the path of a site file without its ending and the name of a day,
    separated by a space. Differences are relative to the arm ``baseline``, by
    default the first one.
    """

    arms: tuple[Arm, ...]
    days: tuple[str, ...]
    seeds: tuple[int, ...]
    player: str = 'emulator'
    baseline: str = ''

    @property
    def baseline_arm(self) -> str:
        """The name of the arm that the others are compared with."""
        return self.baseline or self.arms[0].name

    def arm(self, name: str) -> Arm:
        """Return the arm with this name."""
        return next(each for each in self.arms if each.name == name)

    def plays(self) -> list[Play]:
        """Return all plays, those of one day and seed next to each other."""
        return [
            Play(arm.name, day, seed)
            for day, seed, arm in product(self.days, self.seeds, self.arms)
        ]


def load_experiment(path: Path) -> Experiment:
    """Read a plan; raise ExperimentError if it is missing or invalid."""
    converter = cattrs.Converter(forbid_extra_keys=True)
    try:
        plan = converter.structure(tomllib.loads(path.read_text()), Experiment)
    except BaseValidationError as exc:
        reason = '; '.join(cattrs.transform_error(exc))
        raise ExperimentError(f'{path}: {reason}') from exc
    except (OSError, ValueError) as exc:
        raise ExperimentError(f'{path}: {exc}') from exc
    _check(path, plan)
    return plan


def _check(path: Path, plan: Experiment) -> None:
    names = [arm.name for arm in plan.arms]
    if not (names and plan.days and plan.seeds):
        raise ExperimentError(f'{path}: arms, days and seeds must not be empty')
    if len(set(names)) < len(names):
        raise ExperimentError(f'{path}: two arms have the same name')
    if plan.baseline_arm not in names:
        raise ExperimentError(f'{path}: unknown baseline: {plan.baseline}')
