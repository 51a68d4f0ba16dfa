"""Detects a backend server that fails while its health check passes.

Such a server answers at once with short errors, resets flows after a request,
or answers only a part of its requests. It looks fast and idle, and would get
more flows than the others. This class is for servers with one to four slots
and some ten requests per second; nothing reads what the flows carry.
"""

__all__ = ('FailureDetector',)

from collections import deque

from attrs import define, field

# Number of latest answers of a route that are the reference for its next ones,
# and the least number for a reference.
HISTORY_ANSWERS = 32
MIN_HISTORY = 8
# The usual time is this quantile of the history. If a server fails from its
# start, up to two thirds of the history may be errors.
USUAL_TIME_QUANTILE = 0.7
# An answer is fast below this share of the usual time. Service times with a
# spread of half the mean are below it in 0.4% of the cases.
FAST_SHARE = 0.2
# Errors take about a millisecond; a fifth of the time of an upload is less.
MIN_FAST_S = 0.002
MAX_FAST_SHARE = 0.5
# An answer is short below this share of the length that nine tenths of the
# usual answers exceed. Errors have about 100 bytes, answers 300 or more.
SHORT_SHARE = 0.5
SHORT_QUANTILE = 0.1
# A request is unanswered after this many usual times. 3% of the requests take
# 7 times the mean: with requests of 25 ms at half speed, a factor of 10 gave 45
# false alarms in 800,000 requests, and this one gave 4.
UNANSWERED_FACTOR = 15
MIN_UNANSWERED_S = 0.3
UNANSWERED_WITHOUT_HISTORY_S = 1.0
# A server is suspected at this many failures among its latest requests. One
# failure may be a client's or the network's fault.
LATEST_REQUESTS = 8
SUSPICIOUS_FAILURES = 2
# What a failed request costs its caller: the shortest timeout of a request.
FAILURE_COST_MS = 1000.0
# Pause without probes after a suspicion, doubled after each failed probe.
MIN_PAUSE_S = 1.0
MAX_PAUSE_S = 4.0
# The pause starts at its minimum again after this time without a suspicion.
PAUSE_RESET_S = 10.0
# Number of requests that must succeed one after the other. A server that fails
# 40% of its requests passes four probes in 13% of the cases.
PROBES = 4
# A probe whose client sends no request is replaced after this time.
PROBE_LIFETIME_S = 1.0
# If all answers of a route have been fast and short for this long, its
# requests have changed, or the balancers' comparison has to decide.
RELEARN_S = 20.0
MAX_ROUTES = 64


@define(eq=False, repr=False)
class _AnswerHistory:
    """Latest usual answers of one route, as seconds and bytes.

    ``usual_s`` is 0 while there are too few of them. Answers that take less
    than ``fast_s`` are fast, those with less than ``short_bytes`` are short.
    """

    usual_s: float = 0
    fast_s: float = 0
    short_bytes: float = 0
    _answers: deque[tuple[float, int]] = field(
        factory=lambda: deque(maxlen=HISTORY_ANSWERS)
    )
    _suspicious_since: float | None = None

    def is_suspicious(
        self, now: float, answer_s: float, answer_bytes: int
    ) -> bool:
        """Return whether an answer is fast and short; record it if it isn't."""
        if answer_s < self.fast_s and answer_bytes < self.short_bytes:
            if self._suspicious_since is None:
                self._suspicious_since = now
            if now - self._suspicious_since < RELEARN_S:
                return True
            self._answers.clear()
        self._suspicious_since = None
        self._answers.append((answer_s, answer_bytes))
        self._update_reference()
        return False

    def _update_reference(self) -> None:
        count = len(self._answers)
        if count < MIN_HISTORY:
            self.usual_s = 0
            self.fast_s = 0
            return
        times = sorted(seconds for seconds, _length in self._answers)
        self.usual_s = times[int(count * USUAL_TIME_QUANTILE)]
        self.fast_s = min(
            max(MIN_FAST_S, self.usual_s * FAST_SHARE),
            self.usual_s * MAX_FAST_SHARE,
        )
        lengths = sorted(
            length
            for seconds, length in self._answers
            if seconds >= self.fast_s
        )
        shortest_usual = lengths[int(len(lengths) * SHORT_QUANTILE)]
        self.short_bytes = shortest_usual * SHORT_SHARE


@define(eq=False, repr=False)
class FailureDetector:
    """Computes what the failures of one server cost the callers.

    After a suspicion the server is avoided for a pause. Then a few flows probe
    it, one at a time: if one fails, the next pause is twice as long, and if
    none does, the server is sound again. Times are in monotonic seconds.
    ``route`` is the service's address.
    """

    # Share of failures for which the server is avoided; 0 if it is sound.
    share: float = 0
    pause_s: float = 0
    suspicions: int = 0
    _pause_until: float = field(default=float('-inf'))
    _suspected_at: float = field(default=float('-inf'))
    _latest: deque[bool] = field(factory=lambda: deque(maxlen=LATEST_REQUESTS))
    # A probe runs at most until then.
    _probe_until: float = field(default=float('-inf'))
    _histories: dict[bytes, _AnswerHistory] = field(factory=dict)

    @property
    def is_suspected(self) -> bool:
        """Whether the server is paused or being probed."""
        return self.share > 0

    def is_avoided(self, now: float) -> bool:
        """Return whether new flows should go to other servers."""
        return self.is_suspected and (
            now < self._pause_until or now < self._probe_until
        )

    def penalty_ms(self, now: float) -> float:
        """Return the mean cost of failures per request in milliseconds."""
        return self.share * FAILURE_COST_MS if self.is_avoided(now) else 0

    def is_fast(self, route: bytes, answer_s: float) -> bool:
        """Return whether an answer is faster than usual, so may be an error."""
        return answer_s < self._history(route).fast_s

    def unanswered_s(self, route: bytes) -> float:
        """Return after how long a request counts as unanswered.

        It applies to a request that found the server idle.
        """
        usual_s = self._history(route).usual_s
        if not usual_s:
            return UNANSWERED_WITHOUT_HISTORY_S
        return max(MIN_UNANSWERED_S, usual_s * UNANSWERED_FACTOR)

    def record_start(self, now: float) -> None:
        """Count a new flow as a probe if the server is being probed."""
        if self.is_suspected and not self.is_avoided(now):
            self._probe_until = now + PROBE_LIFETIME_S

    def record_answer(
        self, now: float, route: bytes, answer_s: float, answer_bytes: int
    ) -> bool:
        """Record an answer; return whether it is a suspected error.

        ``answer_s`` is the time from the last packet of the request to the
        first byte of the answer.
        """
        history = self._history(route)
        is_error = history.is_suspicious(now, answer_s, answer_bytes)
        self._record(now, is_failure=is_error)
        return is_error

    def record_failure(self, now: float) -> None:
        """Record a request that was reset or got no answer."""
        self._record(now, is_failure=True)

    def _history(self, route: bytes) -> _AnswerHistory:
        history = self._histories.get(route)
        if history is None:
            if len(self._histories) >= MAX_ROUTES:
                self._histories.pop(next(iter(self._histories)))
            history = _AnswerHistory()
            self._histories[route] = history
        return history

    def _record(self, now: float, *, is_failure: bool) -> None:
        if now < self._pause_until:
            return
        self._latest.append(is_failure)
        self._probe_until = float('-inf')
        if self.is_suspected:
            if is_failure:
                self._suspect(now)
            elif len(self._latest) >= PROBES:
                self.share = 0
        elif sum(self._latest) >= SUSPICIOUS_FAILURES:
            self._suspect(now)

    def _suspect(self, now: float) -> None:
        self.share = sum(self._latest) / len(self._latest)
        is_repeated = now - self._suspected_at < PAUSE_RESET_S
        self.pause_s = (
            min(MAX_PAUSE_S, self.pause_s * 2) if is_repeated else MIN_PAUSE_S
        )
        self.suspicions += 1
        self._suspected_at = now
        self._pause_until = now + self.pause_s
        self._latest.clear()
