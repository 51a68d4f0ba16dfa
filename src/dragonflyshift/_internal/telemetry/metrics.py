"""Metrics of a daemon.

Names have the form ``dragonflyshift.<role>.<name>``. Every plug-in also
counts in memory, so that ``status`` can print the counters.
"""

import asyncio
from abc import abstractmethod
from collections import Counter
from collections.abc import Mapping
from types import MappingProxyType

import statsd

from dragonflyshift._internal.kernel.registry import Plugin
from dragonflyshift._internal.models import Address

PREFIX = 'dragonflyshift'
MS_PER_S = 1000
FLUSH_PERIOD_S = 1.0
DEFAULT_SERVER = Address('127.0.0.1', 8125)


class Metrics(Plugin, kind='metrics'):
    """Count, gauge and time; no call blocks or raises.

    Counts are gathered and sent by ``flush``: one datagram for each packet
    forwarded would cost a balancer as much as the packet.
    """

    def __init__(self, role: str, server: Address | None = None) -> None:
        """Send to ``server``, where the plug-in sends at all."""
        self._role = role
        self._counts: Counter[str] = Counter()
        self._unsent: Counter[str] = Counter()
        self._gauges: dict[str, float] = {}

    def incr(self, name: str, count: int = 1) -> None:
        """Add to a counter."""
        self._unsent[name] += count

    def flush(self) -> None:
        """Send what was counted since the last time."""
        unsent = self._unsent
        self._unsent = Counter()
        self._counts.update(unsent)
        for name, count in unsent.items():
            self._send_count(name, count)

    async def run(self) -> None:
        """Flush for as long as the task lives."""
        while True:
            await asyncio.sleep(FLUSH_PERIOD_S)
            self.flush()

    def gauge(self, name: str, level: float) -> None:
        """Set a gauge."""
        self._gauges[name] = level
        self._send_gauge(name, level)

    def timing(self, name: str, seconds: float) -> None:
        """Record a duration in seconds."""
        self._send_timing(name, seconds)

    def snapshot(self) -> Mapping[str, float]:
        """Return all counters and gauges by full name."""
        merged = {**(self._counts + self._unsent), **self._gauges}
        return MappingProxyType(
            {
                f'{PREFIX}.{self._role}.{name}': level
                for name, level in sorted(merged.items())
            }
        )

    def close(self) -> None:
        """Release the socket, if there is one."""

    @abstractmethod
    def _send_count(self, name: str, count: int) -> None:
        """Send the change of a counter."""

    @abstractmethod
    def _send_gauge(self, name: str, level: float) -> None:
        """Send the level of a gauge."""

    @abstractmethod
    def _send_timing(self, name: str, seconds: float) -> None:
        """Send a duration."""


class NoMetrics(Metrics, name='none'):
    """Count in memory alone."""

    def _send_count(self, name: str, count: int) -> None:
        """Send nothing."""

    def _send_gauge(self, name: str, level: float) -> None:
        """Send nothing."""

    def _send_timing(self, name: str, seconds: float) -> None:
        """Send nothing."""


class _NonBlockingClient(statsd.StatsClient):  # type: ignore[misc] # untyped
    """A statsd client whose socket drops what it can't send at once."""

    def __init__(self, server: Address, prefix: str) -> None:
        super().__init__(server.host, server.port, prefix=prefix)
        self._sock.setblocking(False)

    def _send(self, line: str) -> None:
        if self._sock is not None:
            super()._send(line)


class StatsdMetrics(Metrics, name='statsd'):
    """Send each value to a statsd server in one UDP datagram.

    The server is a numeric address, so nothing is resolved, and the socket
    doesn't block: a datagram that can't be sent at once is dropped.
    """

    def __init__(self, role: str, server: Address | None = None) -> None:
        """Open the socket; without a server the local default is used."""
        super().__init__(role, server)
        self._client = _NonBlockingClient(
            server or DEFAULT_SERVER,
            f'{PREFIX}.{role}',
        )

    def close(self) -> None:
        """Send what is left and close the socket."""
        self.flush()
        self._client.close()

    def _send_count(self, name: str, count: int) -> None:
        self._client.incr(name, count)

    def _send_gauge(self, name: str, level: float) -> None:
        self._client.gauge(name, level)

    def _send_timing(self, name: str, seconds: float) -> None:
        self._client.timing(name, seconds * MS_PER_S)
