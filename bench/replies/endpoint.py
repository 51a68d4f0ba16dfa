"""One end of a replayed connection: timers, pauses and events."""

__all__ = ('Endpoint',)

import random
from abc import ABC, abstractmethod
from functools import partial

from aioquic.h3.connection import H3Connection
from aioquic.h3.events import H3Event
from aioquic.quic.connection import QuicConnection
from aioquic.quic.events import ConnectionTerminated, QuicEvent

from bench.emulator.clock import VirtualClock

# Timers fire slightly late, so a timer can't be due twice at the same time.
TIMER_DELAY_S = 1e-5
PEER = ('198.51.100.1', 7000)


class Endpoint(ABC):
    """Runs a QUIC connection on a virtual clock.

    The event loop of this end stands still for up to ``pause_s`` seconds,
    again and again. ``failure`` is why the connection has ended.
    """

    def __init__(
        self, clock: VirtualClock, rng: random.Random, pause_s: float
    ) -> None:
        """Start without a connection."""
        self.clock = clock
        self.rng = rng
        self.quic: QuicConnection | None = None
        self.http: H3Connection | None = None
        self.failure = ''
        self._pause_s = pause_s
        self._paused_until: float = 0
        self._timer_at: float | None = None
        if pause_s:
            self._pause()

    def receive(self, datagram: bytes) -> None:
        """Process a datagram, once this end is not paused."""
        if self.clock.now < self._paused_until:
            delay_s = self._paused_until - self.clock.now
            self.clock.after(delay_s, partial(self.receive, datagram))
        elif self.quic is not None and not self.failure:
            self.quic.receive_datagram(datagram, PEER, now=self.clock.now)
            self._process_events()
            self.transmit()

    def transmit(self) -> None:
        """Send what is pending, and set the timer."""
        if self.quic is None:
            return
        for datagram, _address in self.quic.datagrams_to_send(self.clock.now):
            self.send(datagram)
        self._timer_at = self.quic.get_timer()
        if self._timer_at is not None:
            delay_s = max(0, self._timer_at - self.clock.now) + TIMER_DELAY_S
            self.clock.after(delay_s, partial(self._on_timer, self._timer_at))

    @abstractmethod
    def send(self, datagram: bytes) -> None:
        """Send a datagram to the other end."""

    @abstractmethod
    def on_quic_event(self, event: QuicEvent) -> None:
        """Handle an event of the connection."""

    @abstractmethod
    def on_http_event(self, event: H3Event) -> None:
        """Handle an event of a request or response."""

    def _on_timer(self, timer_at: float) -> None:
        if self._timer_at != timer_at or self.quic is None or self.failure:
            return
        if self.clock.now < self._paused_until:
            delay_s = self._paused_until - self.clock.now
            self.clock.after(delay_s, partial(self._on_timer, timer_at))
            return
        self.quic.handle_timer(now=self.clock.now)
        self._process_events()
        self.transmit()

    def _process_events(self) -> None:
        while self.quic and (event := self.quic.next_event()):
            if isinstance(event, ConnectionTerminated):
                self.failure = event.reason_phrase or 'closed'
            self.on_quic_event(event)
            if self.http is not None:
                for http_event in self.http.handle_event(event):
                    self.on_http_event(http_event)

    def _pause(self) -> None:
        self._paused_until = self.clock.now + self.rng.uniform(0, self._pause_s)
        self.clock.after(self._pause_s + self.rng.uniform(0, 0.5), self._pause)
