"""Base of the commands that query a running daemon."""

import asyncio
import contextlib
import os
from collections.abc import Awaitable, Callable, Iterable, Mapping
from typing import TypeVar

from cleo.helpers import option

from dragonflyshift._internal.cli.command import JSON_OPTION, OperatorCommand
from dragonflyshift._internal.cli.daemon_client import DaemonClient
from dragonflyshift._internal.cli.stream_client import StreamDaemonClient
from dragonflyshift._internal.config.documents import decode_json
from dragonflyshift._internal.exceptions import (
    ConfigurationError,
    PeerError,
    SettingsError,
    WireError,
)
from dragonflyshift._internal.kernel.options import PREFIX
from dragonflyshift._internal.models.address import Address
from dragonflyshift._internal.wire.keys import FleetKeys

# Far below the number of files that a process may usually open.
MAX_CONCURRENT_QUERIES = 64
KEYS_VARIABLE = f'{PREFIX}FLEET_KEYS'
DAEMON_OPTIONS = (
    option(
        'address',
        'a',
        "The daemon's address for streams, as IP:PORT: the listen setting.",
        flag=False,
    ),
    option(
        'fleet-keys',
        None,
        f'Fleet keys; prefer the environment variable {KEYS_VARIABLE}.',
        flag=False,
    ),
    JSON_OPTION,
)

_ReportT = TypeVar('_ReportT')


class DaemonCommand(OperatorCommand):
    """A command that queries a running daemon."""

    def fetch_report(
        self,
        query: Callable[[DaemonClient], Awaitable[bytes]],
        model: type[_ReportT],
    ) -> _ReportT:
        """Send a query to the daemon and return its decoded report.

        Raises PeerError or WireError if that fails, and SettingsError for
        invalid options.
        """
        client = self.build_client(self._address(), self._fleet_keys())
        return asyncio.run(_fetch(client, query, model))

    def fetch_reports(
        self,
        addresses: Iterable[Address],
        query: Callable[[DaemonClient], Awaitable[bytes]],
        model: type[_ReportT],
    ) -> dict[Address, _ReportT]:
        """Send a query to several daemons; return the reports by address.

        A daemon that can't be reached, or whose report is invalid, is left
        out.
        """
        keys = self._fleet_keys()
        clients = {
            address: self.build_client(address, keys) for address in addresses
        }
        return asyncio.run(_fetch_all(clients, query, model))

    def build_client(self, address: Address, keys: FleetKeys) -> DaemonClient:
        """Return a client for the daemon at an address."""
        return StreamDaemonClient(address, keys)

    def parse_address(self, name: str) -> Address:
        """Return the address in an option; raise SettingsError if invalid."""
        text = self.option(name)
        if not text:
            raise SettingsError(
                'the address is missing',
                context=f'--{name}',
                hint='write it as IPv4:port, such as 192.0.2.1:7000',
            )
        try:
            return Address.parse(text)
        except ConfigurationError as exc:
            raise SettingsError(
                exc.message,
                context=f'--{name}',
                hint=exc.hint,
            ) from exc

    def _address(self) -> Address:
        return self.parse_address('address')

    def _fleet_keys(self) -> FleetKeys:
        text = self.option('fleet-keys') or os.environ.get(KEYS_VARIABLE, '')
        if not text:
            raise SettingsError(
                'no fleet keys are given',
                context='--fleet-keys',
                hint=f'set {KEYS_VARIABLE} as for the daemon',
            )
        return FleetKeys.parse(text)


async def _fetch(
    client: DaemonClient,
    query: Callable[[DaemonClient], Awaitable[bytes]],
    model: type[_ReportT],
) -> _ReportT:
    raw = await query(client)
    try:
        return decode_json(raw, model)
    except ConfigurationError as exc:
        raise WireError(
            f"the daemon's report is invalid: {exc.message}",
            hint='use a command line of the same version as the daemon',
        ) from exc


async def _fetch_all(
    clients: Mapping[Address, DaemonClient],
    query: Callable[[DaemonClient], Awaitable[bytes]],
    model: type[_ReportT],
) -> dict[Address, _ReportT]:
    limit = asyncio.Semaphore(MAX_CONCURRENT_QUERIES)
    reports: dict[Address, _ReportT] = {}

    async def fetch(address: Address, client: DaemonClient) -> None:  # noqa: WPS430 -- shares the limit
        async with limit:
            with contextlib.suppress(PeerError, WireError):
                reports[address] = await _fetch(client, query, model)

    await asyncio.gather(*(fetch(*item) for item in clients.items()))
    return reports
