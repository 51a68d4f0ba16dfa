"""The common header of membership messages."""

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
NO_VIEW_HASH = bytes(HASH_BYTES)
_HEADER_FIELDS = 5
_MAX_FIELDS = 8


@frozen
class MessageHeader:
    """The part that all membership messages have in common.

    ``tag`` identifies the service. ``sequence`` pairs an acknowledgement with
    its probe. ``sender`` is the member record of the sender. ``view_hash`` is
    the hash of the sender's digest, or ``NO_VIEW_HASH`` if the sender has
    outdated records. ``version`` is the version of the sender's service
    document.
    """

    tag: int
    sequence: int
    sender: MemberRecord
    view_hash: bytes
    version: int


def encode_message(header: MessageHeader, *rest: Any) -> bytes:
    """Encode a header and the fields that follow it."""
    packed: bytes = msgpack.packb(
        (
            header.tag,
            header.sequence,
            encode_digest((header.sender,)),
            header.view_hash,
            header.version,
            *rest,
        )
    )
    return packed


def decode_message(raw: bytes, extra: int) -> tuple[MessageHeader, list[Any]]:
    """Return the header and the ``extra`` fields that follow it.

    Raises MembershipError if the message is malformed.
    """
    if len(raw) > MAX_MESSAGE_BYTES:
        raise MembershipError(
            f'message of {len(raw)} bytes exceeds {MAX_MESSAGE_BYTES}'
        )
    try:
        fields = msgpack.unpackb(
            raw,
            max_array_len=_MAX_FIELDS,
            max_map_len=0,
            max_ext_len=0,
        )
    except (ValueError, msgpack.UnpackException) as exc:
        raise MembershipError(f'message is malformed: {exc}') from exc
    if not _is_array(fields) or len(fields) != _HEADER_FIELDS + extra:
        raise MembershipError('message has the wrong number of fields')
    header = _decode_header(fields[:_HEADER_FIELDS])
    return header, fields[_HEADER_FIELDS:]


def _decode_header(fields: list[Any]) -> MessageHeader:
    tag, sequence, *rest = fields
    sender, view_hash, version = rest
    if (
        len(check_bytes(sender)) != RECORD_BYTES
        or len(check_bytes(view_hash)) != HASH_BYTES
    ):
        raise MembershipError('message header is malformed')
    return MessageHeader(
        check_number(tag, MAX_COUNTER),
        check_number(sequence, MAX_COUNTER),
        decode_digest(sender)[0],
        view_hash,
        check_number(version, MAX_VERSION),
    )


def check_bytes(raw: Any) -> bytes:
    """Return ``raw`` if it is bytes; else raise MembershipError."""
    if not isinstance(raw, bytes):
        raise MembershipError('message field is not binary')
    return raw


def check_number(raw: Any, limit: int) -> int:
    """Return ``raw`` if it is an integer from 0 to ``limit``.

    Raises MembershipError otherwise.
    """
    if not isinstance(raw, int) or isinstance(raw, bool):
        raise MembershipError('message field is not an integer')
    if not 0 <= raw <= limit:
        raise MembershipError(
            f'message field {raw} is not in the range 0 to {limit}'
        )
    return raw


def _is_array(raw: Any) -> TypeGuard[list[Any]]:
    return isinstance(raw, list)
