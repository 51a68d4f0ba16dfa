"""Tests the detection of a server that fails behind a good health check.

An undetected server that fails at once is preferred, because it looks fast
and idle. A sound server that is suspected loses its flows for a second.
"""

import random
import unittest

from attrs import frozen

from dragonflyshift._internal.carried.policies.failure_detection import (
    MAX_PAUSE_S,
    PROBES,
    RELEARN_S,
    FailureDetector,
)

_ROUTE = b'route1'
_ERROR_BYTES = 100
_ERROR_S = 0.001
_PER_S = 16
_SPREAD = 0.5
_LONG_SHARE = 0.03


@frozen
class _Kind:
    """Requests of one route, with the distributions of the deployments."""

    name: str
    mean_s: float
    bytes_range: tuple[int, int]

    def answer(self, rng: random.Random, speed: float) -> tuple[float, int]:
        noise = rng.lognormvariate(-_SPREAD * _SPREAD / 2, _SPREAD)
        factor = 7 if rng.random() < _LONG_SHARE else 1
        return (
            self.mean_s * noise * factor / speed,
            rng.randint(*self.bytes_range),
        )


_KINDS = (
    _Kind('read', 0.015, (300, 2000)),
    _Kind('write', 0.025, (300, 600)),
    _Kind('upload', 0.0042, (300, 300)),
    _Kind('download', 0.005, (40_000, 40_000)),
)


class _Server:
    """Feeds a detector with the requests of one emulated server."""

    def __init__(self, kind: _Kind, seed: int, speed: float = 1) -> None:
        self.detector = FailureDetector()
        self.now: float = 0
        self._kind = kind
        self._speed = speed
        self._rng = random.Random(seed)

    def run(self, requests: int, failing_share: float = 0) -> None:
        for _ in range(requests):
            self.now += self._rng.expovariate(_PER_S)
            if self._rng.random() < failing_share:
                self.detector.record_answer(
                    self.now, _ROUTE, _ERROR_S, _ERROR_BYTES
                )
                continue
            seconds, length = self._kind.answer(self._rng, self._speed)
            if seconds > self.detector.unanswered_s(_ROUTE):
                self.detector.record_failure(self.now)
            self.detector.record_answer(self.now, _ROUTE, seconds, length)

    def requests_until_suspected(self, failing_share: float) -> int:
        for number in range(1, 100):
            self.run(1, failing_share)
            if self.detector.is_suspected:
                return number
        return 100


class FailureDetectorTest(unittest.TestCase):
    def test_sound_server_is_rarely_suspected(self) -> None:
        """Long requests and fast ones by chance must not cost a server."""
        for kind in _KINDS:
            for speed in (0.55, 1.2):
                with self.subTest(kind=kind.name, speed=speed):
                    server = _Server(kind, 1, speed)
                    server.run(20_000)
                    self.assertLessEqual(server.detector.suspicions, 1)

    def test_errors_of_a_server_are_detected_within_a_second(self) -> None:
        for kind in _KINDS:
            with self.subTest(kind=kind.name):
                server = _Server(kind, 2)
                server.run(100)
                self.assertLessEqual(server.requests_until_suspected(1), 2)
                counts = []
                for seed in range(50):
                    server = _Server(kind, seed)
                    server.run(100)
                    counts.append(server.requests_until_suspected(0.4))
                self.assertLess(sum(counts) / len(counts), _PER_S / 2)

    def test_partial_errors_from_the_start_are_detected(self) -> None:
        """A new server has no answers from before its failure."""
        counts = [
            _Server(kind, seed).requests_until_suspected(0.4)
            for kind in _KINDS
            for seed in range(20)
        ]
        self.assertLess(sum(counts) / len(counts), 1.5 * _PER_S)

    def test_kinds_of_requests_are_judged_by_their_own_route(self) -> None:
        """Short answers of one route look like errors of another."""
        detector = FailureDetector()
        rng = random.Random(3)
        for _ in range(2000):
            for route, kind in ((b'a', _KINDS[1]), (b'b', _KINDS[3])):
                detector.record_answer(0, route, *kind.answer(rng, 1))
            detector.record_answer(0, b'c', _ERROR_S, _ERROR_BYTES)
        self.assertEqual(detector.suspicions, 0)

    def test_single_reset_costs_nothing(self) -> None:
        detector = FailureDetector()
        detector.record_failure(0)
        self.assertEqual(detector.penalty_ms(0), 0)
        detector.record_failure(0.1)
        self.assertGreater(detector.penalty_ms(0.1), 200)

    def test_pause_doubles_with_each_failed_probe(self) -> None:
        detector = FailureDetector()
        detector.record_failure(0)
        detector.record_failure(0)
        now: float = 0
        pauses = []
        for _ in range(4):
            pauses.append(detector.pause_s)
            self.assertTrue(detector.is_avoided(now + detector.pause_s - 0.01))
            now += detector.pause_s
            self.assertFalse(detector.is_avoided(now))
            detector.record_failure(now)
        self.assertEqual(pauses, [1, 2, 4, MAX_PAUSE_S])

    def test_flows_probe_a_server_one_at_a_time(self) -> None:
        """All balancers would send flows to a server that seems to be idle."""
        detector = FailureDetector()
        detector.record_failure(0)
        detector.record_failure(0)
        now = detector.pause_s
        for _ in range(PROBES):
            self.assertFalse(detector.is_avoided(now))
            detector.record_start(now)
            self.assertTrue(detector.is_avoided(now))
            detector.record_answer(now, _ROUTE, 0.02, 500)
        self.assertFalse(detector.is_suspected)

    def test_lost_probe_is_replaced(self) -> None:
        """The client of a probe may never send its request."""
        detector = FailureDetector()
        detector.record_failure(0)
        detector.record_failure(0)
        detector.record_start(1)
        self.assertTrue(detector.is_avoided(1.9))
        self.assertFalse(detector.is_avoided(2.1))

    def test_changed_requests_are_learnt(self) -> None:
        """After a release that makes answers short they aren't errors."""
        server = _Server(_KINDS[0], 4)
        server.run(100)
        while server.now < 2 * RELEARN_S:
            server.run(1, 1)
        self.assertFalse(server.detector.is_suspected)
