"""Documents as an operator renders them for the platform."""

from attrs import field, frozen

from dragonflyshift._internal.models.documents import (
    IndexDocument,
    ServiceDocument,
)


@frozen
class RenderedDocument:
    """A document ready to be published under its key."""

    key: str
    version: int
    raw: bytes = field(repr=False)
    is_changed: bool


@frozen
class Published:
    """An earlier rendering."""

    index: IndexDocument | None = None
    services: dict[str, ServiceDocument] = field(factory=dict)
