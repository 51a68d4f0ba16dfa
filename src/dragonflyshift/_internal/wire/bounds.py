"""Validators for message fields, which run whenever a message is built."""

__all__ = (
    'MAX_HEADER_BYTES',
    'MAX_VALUE_BYTES',
    'Headers',
    'MaxBytes',
    'Unsigned',
    'validate_headers',
)

from collections.abc import Sized
from typing import Any

from attrs import Attribute, frozen

from dragonflyshift._internal.exceptions import WireError

Headers = tuple[tuple[bytes, bytes], ...]

MAX_VALUE_BYTES = 1024 * 1024
MAX_HEADER_BYTES = 64 * 1024
# Memory overhead added per header, so that many empty headers also reach the
# limit.
_HEADER_COST_BYTES = 32
_MAX_UNSIGNED = (1 << 64) - 1


@frozen
class Unsigned:
    """Validate that an integer is between 0 and ``highest``."""

    highest: int = _MAX_UNSIGNED

    def __call__(
        self,
        _instance: Any,
        attribute: 'Attribute[int]',
        number: int,
    ) -> None:
        """Raise WireError if the number is out of range."""
        if not 0 <= number <= self.highest:
            raise WireError(f'{attribute.name} {number} is out of range')


@frozen
class MaxBytes:
    """Validate the length of a value.

    ``limit`` counts bytes of a byte string or characters of a string.
    """

    limit: int

    def __call__(
        self,
        _instance: Any,
        attribute: 'Attribute[Any]',
        blob: Sized,
    ) -> None:
        """Raise WireError if the value is longer than the limit."""
        if len(blob) > self.limit:
            raise WireError(f'{attribute.name} exceeds {self.limit} bytes')


def validate_headers(
    _instance: Any,
    attribute: 'Attribute[Headers]',
    headers: Headers,
) -> None:
    """Raise WireError if the headers exceed MAX_HEADER_BYTES in total."""
    size = sum(
        len(name) + len(content) + _HEADER_COST_BYTES
        for name, content in headers
    )
    if size > MAX_HEADER_BYTES:
        raise WireError(f'{attribute.name} take {size} bytes')
