"""Base class of the messages on the streams between daemons.

Each message is an attrs class that registers itself under a numeric code. It
is encoded as a msgpack array: the code, then the fields in order.
"""

__all__ = ('Message', 'decode_message', 'encode_message')

from typing import Any, ClassVar

from dragonflyshift._internal.exceptions import WireError
from dragonflyshift._internal.wire.codec import (
    pack,
    structure,
    unpack,
    unstructure,
)

_registry: dict[int, type['Message']] = {}


class Message:
    """Base of all messages; ``code`` identifies the class on the wire."""

    code: ClassVar[int] = 0

    def __init_subclass__(cls, code: int, **kwargs: Any) -> None:
        """Register the class under its code."""
        super().__init_subclass__(**kwargs)
        if code in _registry:
            raise WireError(f'message code {code} is already registered')
        cls.code = code
        _registry[code] = cls


def encode_message(message: Message) -> bytes:
    """Encode a message, starting with its code."""
    return pack((message.code, *unstructure(message)))


def decode_message(raw: bytes) -> Message:
    """Decode a message; raise WireError if it is malformed or unknown."""
    fields = unpack(raw)
    if not isinstance(fields, list) or not fields:
        raise WireError('message is no array')
    code = fields[0]
    known = _registry.get(code) if code.__class__ is int else None
    if known is None:
        raise WireError('message code is unknown')
    return structure(fields[1:], known)
