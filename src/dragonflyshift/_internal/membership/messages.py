"""Messages with which the members of a service probe each other.

Each message is a msgpack array of fixed length. It begins with a header that
contains the record of the sender. A digest of further records is sent only if
the views of sender and receiver differ.
"""

from typing import Any

from attrs import evolve, frozen

from dragonflyshift._internal.exceptions import (
    DragonflyshiftError,
    MembershipError,
)
from dragonflyshift._internal.membership.digest import (
    MAX_COUNTER,
    decode_digest,
    encode_digest,
)
from dragonflyshift._internal.membership.header import (
    MessageHeader,
    check_bytes,
    check_number,
    decode_message,
    encode_message,
)
from dragonflyshift._internal.models import Address, MemberRecord

MAX_RECORDS = 64


@frozen
class Probe:
    """A request for an acknowledgement."""

    header: MessageHeader
    records: tuple[MemberRecord, ...] = ()


@frozen
class Ack:
    """The answer to a probe; the sender's record includes its load."""

    header: MessageHeader
    records: tuple[MemberRecord, ...] = ()


@frozen
class IndirectProbeRequest:
    """A request to probe ``target`` and to forward its acknowledgement."""

    header: MessageHeader
    target: Address


def encode_probe(probe: Probe) -> bytes:
    """Encode a probe."""
    return encode_message(probe.header, encode_digest(probe.records))


def decode_probe(raw: bytes) -> Probe:
    """Decode a probe; raise MembershipError if it is malformed."""
    header, fields = decode_message(raw, 1)
    return Probe(header, _decode_records(fields[0]))


def encode_ack(ack: Ack) -> bytes:
    """Encode an acknowledgement."""
    sender = ack.header.sender
    return encode_message(
        ack.header,
        encode_digest(ack.records),
        sender.free_slots,
        sender.queued,
    )


def decode_ack(raw: bytes) -> Ack:
    """Decode an acknowledgement; raise MembershipError if malformed."""
    header, fields = decode_message(raw, 3)
    sender = evolve(
        header.sender,
        free_slots=check_number(fields[1], MAX_COUNTER),
        queued=check_number(fields[2], MAX_COUNTER),
    )
    return Ack(evolve(header, sender=sender), _decode_records(fields[0]))


def encode_indirect_request(request: IndirectProbeRequest) -> bytes:
    """Encode a request for an indirect probe."""
    target = request.target
    return encode_message(request.header, target.host, target.port)


def decode_indirect_request(raw: bytes) -> IndirectProbeRequest:
    """Decode a request for an indirect probe.

    Raises MembershipError if it is malformed.
    """
    header, fields = decode_message(raw, 2)
    try:
        target = Address.parse(f'{fields[0]}:{fields[1]}')
    except DragonflyshiftError as exc:
        raise MembershipError(
            f'target of an indirect probe is malformed: {exc}'
        ) from exc
    return IndirectProbeRequest(header, target)


def _decode_records(raw: Any) -> tuple[MemberRecord, ...]:
    records = decode_digest(check_bytes(raw))
    if len(records) > MAX_RECORDS:
        raise MembershipError(
            f'message has {len(records)} records, more than {MAX_RECORDS}'
        )
    return records
