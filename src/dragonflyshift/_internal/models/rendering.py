"""Documents that an operator renders for the platform."""

from attrs import field, frozen

from dragonflyshift._internal.models.documents import (
    IndexDocument,
    ServiceDocument,
)


@frozen
class RenderedDocument:
    """A document and the key under which it is published."""

    key: str
    version: int
    raw: bytes = field(repr=False)
    is_changed: bool


@frozen
class Published:
    """The index and the service documents of a previous rendering."""

    index: IndexDocument | None = None
    services: dict[str, ServiceDocument] = field(factory=dict)
