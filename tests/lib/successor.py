"""Reassigns an endpoint address from one service to another."""

import asyncio

from attrs import evolve

from tests.lib.cluster import Cluster, Instance

SUCCESSOR_SLOTS = 4


async def reassign_address(
    cluster: Cluster,
    previous: Instance,
    service: str,
) -> None:
    """Kill an instance and start one of another service at its address.

    ``previous`` then holds the processes of the new instance.
    """
    await previous.sidecar.kill()
    await previous.backend.stop()
    await cluster.register.remove_endpoint(previous.service, previous.name)
    successor = evolve(
        previous.endpoint,
        name=f'{service}-9',
        slots=SUCCESSOR_SLOTS,
    )
    document = cluster.register.documents[service]
    endpoints = (*document.endpoints, successor)
    await cluster.register.change(service, endpoints=endpoints)
    previous.sidecar = cluster.programs.sidecar(service, successor)
    previous.backend = cluster.programs.backend(service, successor)
    await asyncio.gather(previous.sidecar.start(), previous.backend.start())
