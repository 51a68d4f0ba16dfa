"""Declared services of a test cluster, published to its platform."""

from typing import Any

from attrs import evolve, frozen

from dragonflyshift._internal.config.documents import encode_document
from dragonflyshift._internal.config.evacuation import publish_evacuation
from dragonflyshift._internal.config.validation import service_tag
from dragonflyshift._internal.models import (
    Address,
    Endpoint,
    EndpointState,
    IndexDocument,
    IndexEntry,
    Locality,
    ServiceDocument,
    ServiceRules,
)
from dragonflyshift._internal.models.documents import INDEX_KEY, service_key
from tests.lib.control import ControlClient

ANYWHERE_RULES = ServiceRules(
    locality=Locality.ANYWHERE,
    slow_start=0,
    streaming=('GET /boards/', 'GET /exports/'),
    idempotent=('PUT /photos/',),
)


@frozen
class ServicePlan:
    """Settings of one service of a test cluster."""

    name: str
    organisation: str
    endpoints: int = 2
    slots: int = 3
    data_centers: tuple[str, ...] = ('one', 'two', 'three')
    region: str = 'home'
    rules: ServiceRules = ANYWHERE_RULES


class ServiceDeclarations:
    """Service documents as last published.

    Each change increases the version of the document and of the index.
    """

    def __init__(self, platform: ControlClient) -> None:
        self.documents: dict[str, ServiceDocument] = {}
        self.version = 0
        self._platform = platform

    def add(
        self,
        plan: ServicePlan,
        address: Address,
        endpoints: tuple[Endpoint, ...],
    ) -> None:
        """Declare a service."""
        self.documents[plan.name] = ServiceDocument(
            name=plan.name,
            organisation=plan.organisation,
            tag=service_tag(plan.name),
            version=1,
            addresses=(address,),
            endpoints=endpoints,
            rules=plan.rules,
        )

    async def publish(self) -> None:
        """Publish every document and the index."""
        for name in self.documents:
            await self._publish_service(name)
        await self._publish_index()

    async def mark_leaving(self, service: str, instance: str) -> None:
        """Set an endpoint to leaving and publish the change."""
        await self.change_endpoint(
            service,
            instance,
            state=EndpointState.LEAVING,
        )

    async def change_endpoint(
        self,
        service: str,
        instance: str,
        **changes: Any,
    ) -> None:
        """Change attributes of one endpoint and publish the change."""
        endpoints = tuple(
            evolve(endpoint, **changes)
            if endpoint.name == instance
            else endpoint
            for endpoint in self.documents[service].endpoints
        )
        await self.change(service, endpoints=endpoints)

    async def remove_endpoint(self, service: str, instance: str) -> None:
        """Remove an endpoint from a service and publish the change."""
        endpoints = tuple(
            endpoint
            for endpoint in self.documents[service].endpoints
            if endpoint.name != instance
        )
        await self.change(service, endpoints=endpoints)

    async def change(self, service: str, **changes: Any) -> None:
        """Change attributes of a service's document and publish it."""
        document = self.documents[service]
        self.documents[service] = evolve(
            document,
            version=document.version + 1,
            **changes,
        )
        await self._publish_service(service)
        await self._publish_index()

    async def publish_raw(self, key: str, body: bytes) -> None:
        """Publish arbitrary bytes under a key."""
        await self._platform.put_bytes(f'/control/keys/{key}', body)

    async def _publish_service(self, name: str) -> None:
        body = encode_document(publish_evacuation(self.documents[name]))
        await self.publish_raw(service_key(name), body)

    async def _publish_index(self) -> None:
        self.version += 1
        entries = tuple(
            IndexEntry(
                document.name,
                document.tag,
                document.version,
                document.addresses,
            )
            for document in self.documents.values()
        )
        index = IndexDocument(self.version, entries)
        await self.publish_raw(INDEX_KEY, encode_document(index))
