"""Results of load clients and their check against the backend journals."""

import math
from collections import Counter
from collections.abc import Iterable, Sequence

from attrs import Factory, define, frozen

from tests.lib.journal import JournalEntry

MAX_PROBLEMS = 40
ID_SEPARATOR = '~'
QUANTILES = (0.5, 0.9, 0.99, 1.0)


@frozen
class Refusal:
    """An attempt with the outcome "not run".

    ``asked`` and ``answered`` are the Unix times in seconds at which it began
    and ended.
    """

    request_id: str
    service: str
    asked: float
    answered: float


@define
class Summary:
    """Counts of one load run.

    ``whole`` counts complete successful answers with the expected body.
    ``broken_flows`` counts connections that were lost and answers that were
    cut after they began. ``refused_ids`` are the request ids of attempts
    with the outcome "not run". ``latencies`` are in seconds.
    """

    requests: int = 0
    whole: int = 0
    flows: int = 0
    broken_flows: int = 0
    failed_handshakes: int = 0
    refused_not_run: int = 0
    refused_other: int = 0
    unknown: int = 0
    wrong_body: int = 0
    wrong_service: int = 0
    saves: int = 0
    saves_confirmed: int = 0
    confirmed_ids: list[str] = Factory(list)
    refused_ids: list[str] = Factory(list)
    refusals: list[Refusal] = Factory(list)
    problems: list[str] = Factory(list)
    latencies: dict[str, list[float]] = Factory(dict)

    def record_problem(self, problem: str) -> None:
        """Record the description of a problem, at most MAX_PROBLEMS."""
        if len(self.problems) < MAX_PROBLEMS:
            self.problems.append(problem)

    def record_confirmed_save(self, name: str) -> None:
        """Record a save whose answer was complete and right."""
        self.saves_confirmed += 1
        self.confirmed_ids.append(name)

    def record_refusal(self, refusal: Refusal) -> None:
        """Record an attempt with the outcome "not run"."""
        self.refused_not_run += 1
        self.refused_ids.append(refusal.request_id)
        self.refusals.append(refusal)

    def count_error(self, outcome: str, problem: str) -> None:
        """Count a complete answer that reports an error."""
        if outcome == 'unknown':
            self.unknown += 1
        else:
            self.refused_other += 1
        self.record_problem(problem)

    def record_latency(self, kind: str, seconds: float) -> None:
        """Record the latency of one complete answer."""
        self.latencies.setdefault(kind, []).append(seconds)

    def merge(self, other: 'Summary') -> None:
        """Add the results of another summary to this one."""
        for name in _COUNTS:
            total = getattr(self, name) + getattr(other, name)
            setattr(self, name, total)
        self.confirmed_ids.extend(other.confirmed_ids)
        self.refused_ids.extend(other.refused_ids)
        self.refusals.extend(other.refusals)
        for problem in other.problems:
            self.record_problem(problem)
        for kind, seconds in other.latencies.items():
            self.latencies.setdefault(kind, []).extend(seconds)

    def quantiles(self) -> dict[str, list[float]]:
        """Return latency quantiles in seconds for each kind of request."""
        return {
            kind: [round(quantile(seconds, each), 4) for each in QUANTILES]
            for kind, seconds in sorted(self.latencies.items())
        }


_COUNTS = (
    'requests',
    'whole',
    'flows',
    'broken_flows',
    'failed_handshakes',
    'refused_not_run',
    'refused_other',
    'unknown',
    'wrong_body',
    'wrong_service',
    'saves',
    'saves_confirmed',
)


@frozen
class JournalCheck:
    """Violations of the guarantees found in the journals.

    ``imbalance`` is, over the instances of a service, the largest number of
    slot-seconds divided by the mean.
    """

    ran: int
    run_twice: tuple[str, ...]
    refused_but_ran: tuple[str, ...]
    lost_saves: tuple[str, ...]
    wrong_service: tuple[str, ...]
    imbalance: dict[str, float]

    @property
    def holds(self) -> bool:
        """Whether no guarantee was violated."""
        return not (
            self.run_twice
            or self.refused_but_ran
            or self.lost_saves
            or self.wrong_service
        )


def logical_id(request_id: str) -> str:
    """Return the id shared by all attempts of a request."""
    return request_id.rpartition(ID_SEPARATOR)[0]


def check_journals(
    summary: Summary, journal: Sequence[JournalEntry]
) -> JournalCheck:
    """Compare the results of clients with the backend journals.

    Journal entries of other programs than the load clients are ignored.
    """
    load_entries = [entry for entry in journal if ID_SEPARATOR in entry.id]
    saves = Counter(
        logical_id(entry.id) for entry in load_entries if entry.method == 'POST'
    )
    ran = {entry.id for entry in load_entries}
    return JournalCheck(
        ran=len(load_entries),
        run_twice=tuple(each for each, runs in saves.items() if runs > 1),
        refused_but_ran=tuple(
            each for each in summary.refused_ids if each in ran
        ),
        lost_saves=tuple(
            each for each in summary.confirmed_ids if each not in saves
        ),
        wrong_service=tuple(
            entry.id
            for entry in load_entries
            if not entry.id.startswith(entry.service + ID_SEPARATOR)
        ),
        imbalance=_imbalance(load_entries),
    )


def started_after(
    journal: Iterable[JournalEntry],
    instance: str,
    since: float,
) -> list[JournalEntry]:
    """Return entries of an instance started after a Unix time."""
    return [
        entry
        for entry in journal
        if entry.instance == instance and entry.started > since
    ]


def quantile(numbers: Sequence[float], share: float) -> float:
    """Return the quantile ``share`` (0 to 1) by the nearest-rank method."""
    ranked = sorted(numbers)
    place = max(0, math.ceil(share * len(ranked)) - 1)
    return ranked[place]


def _imbalance(journal: Iterable[JournalEntry]) -> dict[str, float]:
    slot_seconds: dict[str, Counter[str]] = {}
    for entry in journal:
        seconds = max(0, entry.ended - entry.started)
        instances = slot_seconds.setdefault(entry.service, Counter())
        instances[entry.instance] += seconds  # type: ignore[assignment]  # a Counter also sums floats
    return {
        service: _max_to_mean(list(instances.values()))
        for service, instances in sorted(slot_seconds.items())
    }


def _max_to_mean(numbers: Sequence[float]) -> float:
    mean = sum(numbers) / len(numbers)
    return round(max(numbers) / mean, 3) if mean else 0
