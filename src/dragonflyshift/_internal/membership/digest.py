"""Compact encoding of member records.

A record takes 15 bytes: IPv4 address (4), port (2), boot (4), epoch (4) and
state (1), big-endian. A digest holds records in ascending order of address, so
that equal views have equal bytes. It omits the load, because the load changes
with each request and a digest must change only if the membership does.

Example:
    >>> decode_digest(encode_digest(()))
    ()
"""

import socket
import struct
from collections.abc import Iterable

import xxhash

from dragonflyshift._internal.exceptions import (
    DragonflyshiftError,
    MembershipError,
)
from dragonflyshift._internal.models import (
    Address,
    Incarnation,
    MemberRecord,
    MemberState,
)

MAX_DIGEST_RECORDS = 8192
MAX_COUNTER = 2**32 - 1
HASH_BYTES = 8
_RECORD = struct.Struct('!4sHIIB')
_ADDRESS_BYTES = 6
RECORD_BYTES = _RECORD.size


def encode_digest(records: Iterable[MemberRecord]) -> bytes:
    """Encode records of distinct members without their load.

    Raises MembershipError if there are too many records or a value is out of
    range.
    """
    parts = sorted(map(_encode_record, records))
    if len(parts) > MAX_DIGEST_RECORDS:
        raise MembershipError(
            f'{len(parts)} records exceed the limit of {MAX_DIGEST_RECORDS}',
        )
    return b''.join(parts)


def decode_digest(raw: bytes) -> tuple[MemberRecord, ...]:
    """Decode a digest; raise MembershipError if it isn't canonical."""
    count, rest = divmod(len(raw), RECORD_BYTES)
    if rest or count > MAX_DIGEST_RECORDS:
        raise MembershipError(f'digest of {len(raw)} bytes is malformed')
    previous = b''
    records = []
    for start in range(0, len(raw), RECORD_BYTES):
        address = raw[start : start + _ADDRESS_BYTES]
        if address <= previous:
            raise MembershipError(
                'records of a digest are not in ascending order'
            )
        previous = address
        records.append(_decode_record(raw, start))
    return tuple(records)


def hash_records(records: Iterable[MemberRecord]) -> bytes:
    """Return a hash of 8 bytes that is independent of order and load."""
    return hash_digest(encode_digest(records))


def hash_digest(digest: bytes) -> bytes:
    """Return the hash of an encoded digest."""
    return xxhash.xxh3_64_digest(digest)


def _encode_record(record: MemberRecord) -> bytes:
    incarnation = record.incarnation
    try:
        return _RECORD.pack(
            socket.inet_aton(record.address.host),
            record.address.port,
            incarnation.boot,
            incarnation.epoch,
            record.state,
        )
    except (OSError, struct.error) as exc:
        raise MembershipError(
            f'member record can not be encoded: {exc}',
            context=str(record.address),
        ) from exc


def _decode_record(raw: bytes, start: int) -> MemberRecord:
    host, port, *numbers = _RECORD.unpack_from(raw, start)
    boot, epoch, state = numbers
    try:
        return MemberRecord(
            Address(socket.inet_ntoa(host), port),
            Incarnation(boot, epoch),
            MemberState(state),
        )
    except (DragonflyshiftError, ValueError) as exc:
        raise MembershipError(f'member record is malformed: {exc}') from exc
