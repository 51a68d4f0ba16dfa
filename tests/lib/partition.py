"""Simulates a network partition between daemons.

The loopback network can't be partitioned without isolation tools. Instead, a
daemon that loads this module as a plug-in module drops its datagrams to hosts
on another side of the partition, and its connections to them never complete.
The file named by an environment variable lists the hosts of each side. A host
on no side reaches all hosts.
"""

import asyncio
import json
import os
import sys
from collections.abc import Iterable
from pathlib import Path
from typing import Any

from dragonflyshift._internal.models import Address
from dragonflyshift._internal.utils.udp import DatagramSocket

PATH_VARIABLE = 'DRAGONFLYSHIFT_TEST_PARTITION'
FLAG = '--plugin-modules=tests.lib.partition'
_LISTEN = '--listen='


def write_partition(path: Path, *sides: Iterable[str]) -> None:
    """Separate hosts on different sides; without sides, end the partition."""
    temporary = path.with_suffix('.new')
    temporary.write_text(json.dumps([list(side) for side in sides]))
    temporary.replace(path)


class _Sides:
    """The sides listed in the file, which is read again after a change."""

    def __init__(self, path: Path, own: str) -> None:
        self._path = path
        self._own = own
        self._changed_at = 0
        self._sides: list[list[str]] = []

    def separates(self, host: str) -> bool:
        """Whether the daemon's own host and ``host`` are on different sides."""
        changed_at = self._path.stat().st_mtime_ns
        if changed_at != self._changed_at:
            self._changed_at = changed_at
            self._sides = json.loads(self._path.read_text())
        own = self._side_of(self._own)
        other = self._side_of(host)
        return own is not None and other is not None and own is not other

    def _side_of(self, host: str) -> list[str] | None:
        return next((side for side in self._sides if host in side), None)


def _block_datagrams(sides: _Sides) -> None:
    send = DatagramSocket.send

    def send_unless_cut(
        sock: DatagramSocket,
        datagram: bytes,
        address: Address,
    ) -> None:
        if not sides.separates(address.host):
            send(sock, datagram, address)

    DatagramSocket.send = send_unless_cut  # type: ignore[method-assign, assignment] # simulates the partition


def _block_connections(sides: _Sides) -> None:
    connect = asyncio.open_connection

    async def connect_unless_cut(host: str, port: int, **options: Any) -> Any:
        if sides.separates(host):
            # Packets to the other side are lost, so only a timeout ends this.
            await asyncio.Event().wait()
        return await connect(host, port, **options)

    asyncio.open_connection = connect_unless_cut  # type: ignore[assignment] # simulates the partition


def _install() -> None:
    path = os.environ.get(PATH_VARIABLE)
    listen = [arg for arg in sys.argv if arg.startswith(_LISTEN)]
    if not path or not listen:
        return
    own = Address.parse(listen[0].removeprefix(_LISTEN)).host
    sides = _Sides(Path(path), own)
    _block_datagrams(sides)
    _block_connections(sides)


_install()
