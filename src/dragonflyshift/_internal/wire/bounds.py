"""Bounds on the fields of messages, checked whenever one is built."""

__all__ = (
    'MAX_HEADER_BYTES',
    'MAX_VALUE_BYTES',
    'Headers',
    'MaxBytes',
    'Unsigned',
    'bounded_headers',
)

from collections.abc import Sized
from typing import Any

from attrs import Attribute, frozen

from dragonflyshift._internal.exceptions import WireError

Headers = tuple[tuple[bytes, bytes], ...]

MAX_VALUE_BYTES = 1024 * 1024
MAX_HEADER_BYTES = 64 * 1024
# Each header costs this much more in memory, so that many empty ones count.
_HEADER_COST_BYTES = 32
_MAX_UNSIGNED = (1 << 64) - 1


@frozen
class Unsigned:
    """Allow whole numbers from 0 to ``highest``."""

    highest: int = _MAX_UNSIGNED

    def __call__(
        self,
        _owner: Any,
        attribute: 'Attribute[int]',
        number: int,
    ) -> None:
        """Raise WireError when the number is out of range."""
        if not 0 <= number <= self.highest:
            raise WireError(f'{attribute.name} {number} is out of range')


@frozen
class MaxBytes:
    """Allow byte strings, and texts by their characters, up to ``limit``."""

    limit: int

    def __call__(
        self,
        _owner: Any,
        attribute: 'Attribute[Any]',
        blob: Sized,
    ) -> None:
        """Raise WireError when it is too long."""
        if len(blob) > self.limit:
            raise WireError(f'{attribute.name} exceeds {self.limit} bytes')


def bounded_headers(
    _owner: Any,
    attribute: 'Attribute[Headers]',
    headers: Headers,
) -> None:
    """Allow headers up to MAX_HEADER_BYTES in all."""
    size = sum(
        len(name) + len(content) + _HEADER_COST_BYTES
        for name, content in headers
    )
    if size > MAX_HEADER_BYTES:
        raise WireError(f'{attribute.name} take {size} bytes')
