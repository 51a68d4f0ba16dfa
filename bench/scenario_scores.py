"""The two weightings of one run, and where ours loses."""

from collections.abc import Callable, Iterable, Sequence

from attrs import frozen

from bench.scenario_figures import Figures, RoleCost

OURS = 'ours'
NAIVE = 'naive'
MAJOR_WEIGHT = 3.0
MINOR_WEIGHT = 1.0
# Differences below these are not told from noise between two short runs.
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
    """Both weightings of one run; lower is better."""

    broken: float
    imbalance: float

    @classmethod
    def of(cls, figures: Figures) -> 'Score':
        """Draw both terms from a run."""
        return cls(
            round(figures.broken_ratio, 2),
            round(100 * figures.variation, 2),
        )

    @property
    def tesfa(self) -> float:
        """Broken flows first."""
        return MAJOR_WEIGHT * self.broken + MINOR_WEIGHT * self.imbalance

    @property
    def association(self) -> float:
        """Imbalance first."""
        return MINOR_WEIGHT * self.broken + MAJOR_WEIGHT * self.imbalance

    @property
    def tesfa_order(self) -> tuple[float, float]:
        """Key of Tesfa's ordering."""
        return self.broken, self.imbalance

    @property
    def association_order(self) -> tuple[float, float]:
        """Key of the association's ordering."""
        return self.imbalance, self.broken


@frozen
class Pair:
    """Ours and the naive version in the same scenario."""

    ours: Figures
    naive: Figures


@frozen
class Measure:
    """Something that is better when it is lower, and what counts as equal."""

    title: str
    read: Callable[[Figures], float | None]
    margin: float = 0
    relative: float = 0

    def loss(self, pair: Pair) -> str:
        """Describe by how much ours is worse, or return ''."""
        ours = self.read(pair.ours)
        naive = self.read(pair.naive)
        if ours is None or naive is None:
            return ''
        if ours <= naive + max(self.margin, naive * self.relative):
            return ''
        return f'{self.title} {ours:.4g}, naive {naive:.4g}'


def pair_runs(runs: Iterable[Figures]) -> tuple[Pair, ...]:
    """Return the scenarios that both versions ran to the end."""
    by_name: dict[str, dict[str, Figures]] = {}
    for each in runs:
        if not each.failed:
            by_name.setdefault(each.scenario, {})[each.version] = each
    return tuple(
        Pair(found[OURS], found[NAIVE])
        for found in by_name.values()
        if {OURS, NAIVE} <= set(found)
    )


def losses(pair: Pair) -> list[str]:
    """Return in what ours was worse than the naive version."""
    found = [measure.loss(pair) for measure in MEASURES]
    return [each for each in found if each]


def worst(numbers: Sequence[float]) -> float | None:
    """Return the largest; None when nothing was measured."""
    return max(numbers, default=None)


def _cost(figures: Figures, role: str) -> RoleCost:
    return figures.costs.get(role, RoleCost())


def _unanswered(figures: Figures) -> float:
    return 1 - figures.whole / figures.requests if figures.requests else 1


MEASURES = (
    Measure('broken promises', lambda each: each.broken_promises),
    Measure('broken flows', lambda each: each.broken_flows),
    Measure('failed handshakes', lambda each: each.failed_handshakes),
    Measure('unknown outcomes', lambda each: each.unknown),
    Measure('refused as not run', lambda each: each.refused_not_run),
    Measure('wrongly refused', lambda each: each.wrongly_refused),
    Measure('share without a whole answer', _unanswered, 0.005),
    Measure(
        'slot-seconds max/mean',
        lambda each: each.imbalance,
        RATIO_MARGIN,
    ),
    Measure(
        'slot-seconds variation',
        lambda each: each.variation,
        RATIO_MARGIN,
    ),
    Measure(
        'whole answers a second',
        lambda each: -each.whole / each.seconds,
        relative=-RATIO_MARGIN,
    ),
    Measure(
        'median latency ms',
        lambda each: each.percentile(50),
        relative=LATENCY_MARGIN,
    ),
    Measure(
        '99 % latency ms',
        lambda each: each.percentile(99),
        relative=LATENCY_MARGIN,
    ),
    Measure(
        'seconds until the last new request',
        lambda each: worst(each.leave_seconds),
        0.1,
    ),
    Measure(
        'seconds until in force',
        lambda each: worst(each.force_seconds),
        0.2,
    ),
    Measure(
        'balancer share of a core',
        lambda each: _cost(each, 'balancer').load_mean,
        SHARE_MARGIN,
    ),
    Measure(
        'sidecar share of a core',
        lambda each: _cost(each, 'sidecar').load_mean,
        SHARE_MARGIN,
    ),
    Measure(
        'sidecar share of a core at rest',
        lambda each: _cost(each, 'sidecar').rest_mean,
        SHARE_MARGIN,
    ),
    Measure(
        'control bytes a second',
        lambda each: _cost(each, 'sidecar').control_load_mean,
        relative=RATIO_MARGIN,
    ),
)
