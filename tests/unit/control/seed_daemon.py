"""Seed daemon: a control server from which others read documents."""

from typing import Any

from dragonflyshift._internal.config import ConfigurationStore
from dragonflyshift._internal.control import ControlServer, ReportProvider
from dragonflyshift._internal.wire.messages import RouteRequest
from tests.lib.builders import build_fleet_keys
from tests.lib.network import free_address


class FixedReportProvider(ReportProvider):
    """Provider of fixed reports; a route report repeats the address."""

    def status(self) -> dict[str, Any]:
        """Return the status report."""
        return {'role': 'balancer'}

    def route(self, request: RouteRequest) -> dict[str, Any]:
        """Return the service address of the request."""
        return {'service_address': request.service_address}


class SeedDaemon:
    """A configuration store served by a control server."""

    def __init__(self) -> None:
        self.address = free_address()
        self.store = ConfigurationStore()
        self.server = ControlServer(
            self.address,
            build_fleet_keys(),
            self.store,
            FixedReportProvider(),
        )
