"""An address that passes from one service to another."""

import asyncio

from attrs import evolve

from tests.lib.cluster import Cluster, Instance

SUCCESSOR_SLOTS = 4


async def pass_address(
    cluster: Cluster,
    passed: Instance,
    service: str,
) -> None:
    """Kill an instance and start one of another service at its address."""
    await passed.sidecar.kill()
    await passed.backend.stop()
    await cluster.register.remove_endpoint(passed.service, passed.name)
    successor = evolve(
        passed.endpoint,
        name=f'{service}-9',
        slots=SUCCESSOR_SLOTS,
    )
    document = cluster.register.documents[service]
    endpoints = (*document.endpoints, successor)
    await cluster.register.change(service, endpoints=endpoints)
    passed.sidecar = cluster.programs.sidecar(service, successor)
    passed.backend = cluster.programs.backend(service, successor)
    await asyncio.gather(passed.sidecar.start(), passed.backend.start())
