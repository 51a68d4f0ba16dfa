"""What each message between members tells of its sender."""

from typing import Any, TypeGuard

import msgpack
from attrs import frozen

from dragonflyshift._internal.exceptions import MembershipError
from dragonflyshift._internal.membership.digest import (
    HASH_BYTES,
    MAX_COUNTER,
    RECORD_BYTES,
    decode_digest,
    encode_digest,
)
from dragonflyshift._internal.models import MemberRecord

MAX_MESSAGE_BYTES = 1200
MAX_VERSION = 2**63 - 1
NO_VIEW = bytes(HASH_BYTES)
_GREETING_FIELDS = 5
_MAX_FIELDS = 8


@frozen
class Greeting:
    """What each message tells of its sender.

    ``tag`` is the service's, ``sequence`` pairs an acknowledgement with its
    probe, ``view`` is the hash of the sender's digest (``NO_VIEW`` while it
    doubts its view), ``version`` that of its service document.
    """

    tag: int
    sequence: int
    sender: MemberRecord
    view: bytes
    version: int


def pack_message(greeting: Greeting, *rest: Any) -> bytes:
    """Encode a greeting and the fields that follow it."""
    packed: bytes = msgpack.packb(
        (
            greeting.tag,
            greeting.sequence,
            encode_digest((greeting.sender,)),
            greeting.view,
            greeting.version,
            *rest,
        )
    )
    return packed


def unpack_message(raw: bytes, extra: int) -> tuple[Greeting, list[Any]]:
    """Return the greeting and the ``extra`` fields that follow it.

    Raises MembershipError when the message is malformed.
    """
    if len(raw) > MAX_MESSAGE_BYTES:
        raise MembershipError(f'a message has {len(raw)} bytes')
    try:
        fields = msgpack.unpackb(
            raw,
            max_array_len=_MAX_FIELDS,
            max_map_len=0,
            max_ext_len=0,
        )
    except (ValueError, msgpack.UnpackException) as exc:
        raise MembershipError(f'a message is malformed: {exc}') from exc
    if not _is_array(fields) or len(fields) != _GREETING_FIELDS + extra:
        raise MembershipError('a message has the wrong fields')
    greeting = _greeting(fields[:_GREETING_FIELDS])
    return greeting, fields[_GREETING_FIELDS:]


def _greeting(fields: list[Any]) -> Greeting:
    tag, sequence, *rest = fields
    sender, view, version = rest
    if (
        len(check_bytes(sender)) != RECORD_BYTES
        or len(check_bytes(view)) != HASH_BYTES
    ):
        raise MembershipError('a greeting is malformed')
    return Greeting(
        check_number(tag, MAX_COUNTER),
        check_number(sequence, MAX_COUNTER),
        decode_digest(sender)[0],
        view,
        check_number(version, MAX_VERSION),
    )


def check_bytes(raw: Any) -> bytes:
    """Return a binary field; raise MembershipError if it is none."""
    if not isinstance(raw, bytes):
        raise MembershipError('a field has to be binary')
    return raw


def check_number(raw: Any, limit: int) -> int:
    """Return a number from 0 to ``limit``; raise MembershipError if none."""
    if not isinstance(raw, int) or isinstance(raw, bool):
        raise MembershipError('a field has to be a number')
    if not 0 <= raw <= limit:
        raise MembershipError(f'the number {raw} is out of range')
    return raw


def _is_array(raw: Any) -> TypeGuard[list[Any]]:
    return isinstance(raw, list)
