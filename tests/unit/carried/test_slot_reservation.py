"""Tests of the time for which slots are reserved for new flows.

Load pattern: after all processes were killed, first packets of clients that
have given up wait with those of others. If each of them blocks a slot for a
fixed 0.3 s, servers with one slot stand idle while the others wait.
"""

import logging
import unittest
from unittest.mock import patch

from bench.emulator.scenario import load_scenario
from bench.emulator.simulation import run_scenario
from bench.emulator.statistics import Window
from dragonflyshift._internal.carried.messages import ForwardedPacket
from dragonflyshift._internal.carried.packet import SocketAddress
from dragonflyshift._internal.carried.policies.admission import (
    MAX_RESERVATION_S,
    MIN_RESERVATION_S,
    SlotReservation,
)
from tests.lib.carried import (
    ACK,
    FIN,
    SERVICE,
    SYN,
    build_admission_request,
    build_flow_handler,
    build_key,
    build_packet,
)

_BALANCER: SocketAddress = ('10.0.0.1', 7720)
_FIRST = 5000
_ARRIVAL_S = 0.008


class SlotReservationTest(unittest.TestCase):
    def test_reservation_follows_the_arrival_of_requests(self) -> None:
        for arrival_s in (0.002, 0.008, 0.06):
            with self.subTest(arrival_s=arrival_s):
                reservation = SlotReservation()
                self.assertEqual(reservation.seconds, MAX_RESERVATION_S)
                for number in range(60):
                    reservation.record(arrival_s * (0.8 + number % 5 / 10))
                self.assertGreater(reservation.seconds, arrival_s * 1.2)
                self.assertLess(
                    reservation.seconds,
                    max(MIN_RESERVATION_S, arrival_s * 2) + 0.001,
                )

    def test_requests_of_kept_flows_count_for_nothing(self) -> None:
        reservation = SlotReservation()
        reservation.record(5.0)
        self.assertEqual(reservation.seconds, MAX_RESERVATION_S)

    def test_reservation_grows_again_with_the_distance(self) -> None:
        reservation = SlotReservation()
        for _ in range(50):
            reservation.record(0.004)
        for _ in range(3):
            reservation.record(0.1)
        self.assertGreater(reservation.seconds, 0.1)


class LostClientsTest(unittest.TestCase):
    def setUp(self) -> None:
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)

    def test_slot_of_a_lost_client_is_free_after_usual_arrivals(self) -> None:
        handler, _outbox = build_flow_handler()
        now: float = 0
        for number in range(1, 31):
            now += 1
            key = build_key(number)
            request = build_admission_request(key)
            handler.on_admission_request(now, request, _BALANCER)
            for payload in (b'GET', b''):
                packet = build_packet(
                    key,
                    ACK if payload else FIN | ACK,
                    acknowledged=_FIRST + 1,
                    payload=payload,
                )
                syn = build_packet(
                    key, SYN | ACK, sequence=_FIRST, from_backend=True
                )
                handler.on_backend_packet(now, syn)
                handler.on_forwarded_packet(
                    now + _ARRIVAL_S,
                    ForwardedPacket(SERVICE, packet),
                    _BALANCER,
                )
            answer = build_packet(
                key,
                FIN | ACK,
                sequence=_FIRST + 101,
                from_backend=True,
            )
            handler.on_backend_packet(now + 0.03, answer)
        now += 1
        lost = build_admission_request(build_key(99))
        handler.on_admission_request(now, lost, _BALANCER)
        table = handler.backend.table
        self.assertEqual(table.busy_slots(now + _ARRIVAL_S), 1)
        self.assertEqual(table.busy_slots(now + 0.05), 0)

    def test_fewer_requests_fail_after_all_processes_were_killed(self) -> None:
        observed = self._play()
        with patch.object(SlotReservation, 'record'):
            fixed = self._play()
        self.assertLess(observed.failed, fixed.failed * 0.95)
        self.assertGreater(observed.worth, fixed.worth + 0.005)

    def _play(self) -> Window:
        scenario = load_scenario('processes-killed-unlisted')
        return run_scenario(scenario, 1).total()
