"""A daemon that others read documents from, and counts of what was asked."""

import socket
from typing import Any

from dragonflyshift._internal.config import ConfigurationStore
from dragonflyshift._internal.control import ControlServer, Reports
from dragonflyshift._internal.models import Address
from dragonflyshift._internal.wire.messages import RouteRequest
from tests.lib.builders import build_fleet_keys


def free_address() -> Address:
    """Return a loopback address on which nothing listens."""
    with socket.create_server(('127.0.0.1', 0)) as server:
        return Address(*server.getsockname())


class FixedReports(Reports):
    """Answers that name what was asked."""

    def status(self) -> dict[str, Any]:
        """Describe the daemon's view."""
        return {'role': 'balancer'}

    def route(self, request: RouteRequest) -> dict[str, Any]:
        """Explain where a packet or new flow would go."""
        return {'service_address': request.service_address}


class Seed:
    """A store behind a control server."""

    def __init__(self) -> None:
        self.address = free_address()
        self.store = ConfigurationStore()
        self.server = ControlServer(
            self.address,
            build_fleet_keys(),
            self.store,
            FixedReports(),
        )
