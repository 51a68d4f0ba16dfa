"""Scores a run with two weightings and lists regressions against naive."""

from collections.abc import Callable, Iterable, Sequence

from attrs import frozen

from bench.scenarios.figures import RoleCost, RunResult

OURS = 'ours'
NAIVE = 'naive'
MAJOR_WEIGHT = 3.0
MINOR_WEIGHT = 1.0
# Smaller differences are indistinguishable from noise between short runs.
RATIO_MARGIN = 0.05
LATENCY_MARGIN = 0.15
SHARE_MARGIN = 0.01
FORMULA = (
    'b = broken flows for each 1,000 requests; '
    'i = 100 x coefficient of variation of slot-seconds over the untouched '
    'instances, of the worst service. '
    f"Tesfa's score = {MAJOR_WEIGHT:g}b + {MINOR_WEIGHT:g}i; "
    f"the association's score = {MINOR_WEIGHT:g}b + {MAJOR_WEIGHT:g}i; "
    'lower is better. The orderings compare (b, i) and (i, b).'
)


@frozen
class Score:
    """The terms of both weighted scores of a run; lower is better.

    ``broken`` counts broken flows per 1,000 requests, ``imbalance`` is the
    coefficient of variation of slot-seconds in percent.
    """

    broken: float
    imbalance: float

    @classmethod
    def of(cls, result: RunResult) -> 'Score':
        """Compute both terms from a run, rounded to two decimals."""
        return cls(
            round(result.broken_ratio, 2),
            round(100 * result.variation, 2),
        )

    @property
    def tesfa(self) -> float:
        """Weighted sum that gives broken flows the larger weight."""
        return MAJOR_WEIGHT * self.broken + MINOR_WEIGHT * self.imbalance

    @property
    def association(self) -> float:
        """Weighted sum that gives imbalance the larger weight."""
        return MINOR_WEIGHT * self.broken + MAJOR_WEIGHT * self.imbalance

    @property
    def tesfa_order(self) -> tuple[float, float]:
        """Sort key that compares broken flows before imbalance."""
        return self.broken, self.imbalance

    @property
    def association_order(self) -> tuple[float, float]:
        """Sort key that compares imbalance before broken flows."""
        return self.imbalance, self.broken


@frozen
class VersionPair:
    """Results of our version and the naive one in the same scenario."""

    ours: RunResult
    naive: RunResult


@frozen
class Comparison:
    """A metric to compare, where lower is better.

    A difference up to ``margin``, or up to the fraction ``relative`` of the
    naive value, counts as equal.
    """

    title: str
    read: Callable[[RunResult], float | None]
    margin: float = 0
    relative: float = 0

    def describe_regression(self, pair: VersionPair) -> str:
        """Describe how ours is worse than naive, or return '' if it is not."""
        ours = self.read(pair.ours)
        naive = self.read(pair.naive)
        if ours is None or naive is None:
            return ''
        if ours <= naive + max(self.margin, naive * self.relative):
            return ''
        return f'{self.title} {ours:.4g}, naive {naive:.4g}'


def pair_runs(runs: Iterable[RunResult]) -> tuple[VersionPair, ...]:
    """Pair the results of each scenario in which neither version failed."""
    by_name: dict[str, dict[str, RunResult]] = {}
    for each in runs:
        if not each.failed:
            by_name.setdefault(each.scenario, {})[each.version] = each
    return tuple(
        VersionPair(found[OURS], found[NAIVE])
        for found in by_name.values()
        if {OURS, NAIVE} <= set(found)
    )


def list_regressions(pair: VersionPair) -> list[str]:
    """Return a description of each metric in which ours is worse."""
    found = [comparison.describe_regression(pair) for comparison in COMPARISONS]
    return [each for each in found if each]


def largest(numbers: Sequence[float]) -> float | None:
    """Return the largest number, or None if there are none."""
    return max(numbers, default=None)


def _cost(result: RunResult, role: str) -> RoleCost:
    return result.costs.get(role, RoleCost())


def _incomplete_share(result: RunResult) -> float:
    return 1 - result.whole / result.requests if result.requests else 1


COMPARISONS = (
    Comparison('broken promises', lambda each: each.guarantee_violations),
    Comparison('broken flows', lambda each: each.broken_flows),
    Comparison('failed handshakes', lambda each: each.failed_handshakes),
    Comparison('unknown outcomes', lambda each: each.unknown),
    Comparison('refused as not run', lambda each: each.refused_not_run),
    Comparison('wrongly refused', lambda each: each.wrongly_refused),
    Comparison('share without a whole answer', _incomplete_share, 0.005),
    Comparison(
        'slot-seconds max/mean',
        lambda each: each.imbalance,
        RATIO_MARGIN,
    ),
    Comparison(
        'slot-seconds variation',
        lambda each: each.variation,
        RATIO_MARGIN,
    ),
    # More is better here, so the rate is negated. With the negative fraction
    # the allowed difference is positive again.
    Comparison(
        'whole answers a second',
        lambda each: -each.whole / each.seconds,
        relative=-RATIO_MARGIN,
    ),
    Comparison(
        'median latency ms',
        lambda each: each.percentile(50),
        relative=LATENCY_MARGIN,
    ),
    Comparison(
        '99 % latency ms',
        lambda each: each.percentile(99),
        relative=LATENCY_MARGIN,
    ),
    Comparison(
        'seconds until the last new request',
        lambda each: largest(each.leave_seconds),
        0.1,
    ),
    Comparison(
        'seconds until in force',
        lambda each: largest(each.force_seconds),
        0.2,
    ),
    Comparison(
        'balancer share of a core',
        lambda each: _cost(each, 'balancer').load_mean,
        SHARE_MARGIN,
    ),
    Comparison(
        'sidecar share of a core',
        lambda each: _cost(each, 'sidecar').load_mean,
        SHARE_MARGIN,
    ),
    Comparison(
        'sidecar share of a core at rest',
        lambda each: _cost(each, 'sidecar').rest_mean,
        SHARE_MARGIN,
    ),
    Comparison(
        'control bytes a second',
        lambda each: _cost(each, 'sidecar').control_load_mean,
        relative=RATIO_MARGIN,
    ),
)
