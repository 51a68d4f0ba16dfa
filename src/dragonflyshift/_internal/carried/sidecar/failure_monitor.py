"""Feeds the requests of a server to the detection of its failures.

It is imported with the first flow, to keep the start of a sidecar short.
"""

__all__ = ('FailureMonitor',)

import logging

from attrs import define, field

from dragonflyshift._internal.carried.packet import FlowKey
from dragonflyshift._internal.carried.policies.failure_detection import (
    FailureDetector,
)
from dragonflyshift._internal.carried.routes import SERVICE_ADDRESS_SLICE
from dragonflyshift._internal.carried.sidecar.flow_table import FlowTable
from dragonflyshift._internal.carried.sidecar.flows import (
    OutcomeKind,
    RequestOutcome,
)
from dragonflyshift._internal.carried.sidecar.service_time import (
    ServiceTimeEstimator,
)
from dragonflyshift._internal.carried.telemetry import Counters

logger = logging.getLogger(__name__)

# A sound server sheds requests once more of them wait than its queue holds,
# which is at least two beyond its slots.
MIN_SERVER_QUEUE = 2


@define(eq=False, repr=False)
class FailureMonitor:
    """Passes the outcomes of requests on, and logs suspicions.

    Answers that may be errors are recorded as service times only once they
    are complete and not suspected, since errors make a server look fast.
    """

    service_time: ServiceTimeEstimator
    detector: FailureDetector = field(factory=FailureDetector)

    def may_be_error(self, key: FlowKey, answer_s: float) -> bool:
        """Return whether the first byte of an answer came too early."""
        return self.detector.is_fast(key[SERVICE_ADDRESS_SLICE], answer_s)

    def check_running(self, now: float, table: FlowTable, slots: int) -> None:
        """Report the requests that have run for too long."""
        for flow in table.running_flows():
            limit_s = self.detector.unanswered_s(
                flow.key[SERVICE_ADDRESS_SLICE]
            )
            table.check_unanswered(
                now, flow, limit_s * (1 + flow.ahead / slots)
            )

    def record(
        self,
        now: float,
        outcomes: list[RequestOutcome],
        slots: int,
        counters: Counters,
    ) -> None:
        """Record the outcomes of requests."""
        detector = self.detector
        suspicions = detector.suspicions
        was_suspected = detector.is_suspected
        for outcome in outcomes:
            is_overloaded = outcome.ahead >= slots + MIN_SERVER_QUEUE
            if self._is_failure(now, outcome, is_overloaded=is_overloaded):
                counters.incr(f'suspected_{outcome.kind.value}')
        if detector.suspicions != suspicions:
            logger.warning(
                'server-suspected',
                extra={
                    'share': round(detector.share, 2),
                    'pause_s': detector.pause_s,
                    'outcome': outcomes[-1].kind.value,
                    'answer_bytes': outcomes[-1].answer_bytes,
                    'answer_ms': round(outcomes[-1].answer_s * 1000, 1),
                },
            )
        elif was_suspected and not detector.is_suspected:
            logger.info('server-recovered')

    def _is_failure(
        self, now: float, outcome: RequestOutcome, *, is_overloaded: bool
    ) -> bool:
        route = outcome.key[SERVICE_ADDRESS_SLICE]
        if outcome.kind is not OutcomeKind.ANSWERED:
            if not is_overloaded:
                self.detector.record_failure(now)
            return not is_overloaded
        is_fast = self.detector.is_fast(route, outcome.answer_s)
        if is_fast and is_overloaded:
            return False
        is_error = self.detector.record_answer(
            now, route, outcome.answer_s, outcome.answer_bytes
        )
        if is_fast and not is_error:
            self.service_time.record(outcome.service_s)
        return is_error
