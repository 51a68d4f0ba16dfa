"""Metrics of a daemon.

Names have the form ``dragonflyshift.<role>.<name>``. Every plug-in also keeps
the counters in memory, so that the ``status`` command can print them.
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
    """Records counters, gauges and timings; no call blocks or raises.

    Counters are accumulated and sent by ``flush``, because a datagram for
    each forwarded packet would cost a balancer as much as the packet itself.
    """

    def __init__(self, role: str, server: Address | None = None) -> None:
        """Create metrics without values.

        ``server`` is used only by plug-ins that send metrics.
        """
        self._role = role
        self._flushed: Counter[str] = Counter()
        self._unsent: Counter[str] = Counter()
        self._gauges: dict[str, float] = {}

    def incr(self, name: str, count: int = 1) -> None:
        """Add ``count`` to a counter."""
        self._unsent[name] += count

    def flush(self) -> None:
        """Send the changes of the counters since the last flush."""
        unsent = self._unsent
        self._unsent = Counter()
        self._flushed.update(unsent)
        for name, count in unsent.items():
            self._send_count(name, count)

    async def run(self) -> None:
        """Flush once every FLUSH_PERIOD_S seconds, until cancelled."""
        while True:
            await asyncio.sleep(FLUSH_PERIOD_S)
            self.flush()

    def gauge(self, name: str, level: float) -> None:
        """Set a gauge and send its level."""
        self._gauges[name] = level
        self._send_gauge(name, level)

    def timing(self, name: str, seconds: float) -> None:
        """Send a duration in seconds."""
        self._send_timing(name, seconds)

    def snapshot(self) -> Mapping[str, float]:
        """Return all counters and gauges by full name, sorted."""
        merged = {**(self._flushed + self._unsent), **self._gauges}
        return MappingProxyType(
            {
                f'{PREFIX}.{self._role}.{name}': level
                for name, level in sorted(merged.items())
            }
        )

    def close(self) -> None:
        """Close the socket, if there is one."""

    @abstractmethod
    def _send_count(self, name: str, count: int) -> None:
        """Send the increase of a counter."""

    @abstractmethod
    def _send_gauge(self, name: str, level: float) -> None:
        """Send the level of a gauge."""

    @abstractmethod
    def _send_timing(self, name: str, seconds: float) -> None:
        """Send a duration."""


class NoMetrics(Metrics, name='none'):
    """Keeps metrics in memory only."""

    def _send_count(self, name: str, count: int) -> None:
        """Send nothing."""

    def _send_gauge(self, name: str, level: float) -> None:
        """Send nothing."""

    def _send_timing(self, name: str, seconds: float) -> None:
        """Send nothing."""


class _NonBlockingClient(statsd.StatsClient):  # type: ignore[misc] # untyped
    """A statsd client with a non-blocking socket."""

    def __init__(self, server: Address, prefix: str) -> None:
        super().__init__(server.host, server.port, prefix=prefix)
        self._sock.setblocking(False)

    def _send(self, line: str) -> None:
        if self._sock is not None:
            super()._send(line)


class StatsdMetrics(Metrics, name='statsd'):
    """Sends each value to a statsd server in one UDP datagram.

    The server has a numeric address, which needs no name resolution. The
    socket is non-blocking: a datagram that can't be sent at once is dropped.
    """

    def __init__(self, role: str, server: Address | None = None) -> None:
        """Open the socket; ``server`` defaults to DEFAULT_SERVER."""
        super().__init__(role, server)
        self._client = _NonBlockingClient(
            server or DEFAULT_SERVER,
            f'{PREFIX}.{role}',
        )

    def close(self) -> None:
        """Flush the counters and close the socket."""
        self.flush()
        self._client.close()

    def _send_count(self, name: str, count: int) -> None:
        self._client.incr(name, count)

    def _send_gauge(self, name: str, level: float) -> None:
        self._client.gauge(name, level)

    def _send_timing(self, name: str, seconds: float) -> None:
        self._client.timing(name, seconds * MS_PER_S)
