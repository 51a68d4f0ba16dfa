"""Messages by which the members of a service probe each other.

Each is a msgpack array of fixed length. All begin with a greeting, in which
a member tells its own record; digests follow only where views differ.
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
from dragonflyshift._internal.membership.greeting import (
    Greeting,
    check_bytes,
    check_number,
    pack_message,
    unpack_message,
)
from dragonflyshift._internal.models import Address, MemberRecord

MAX_WORDS = 64


@frozen
class Probe:
    """Ask a member for a sign of life."""

    greeting: Greeting
    words: tuple[MemberRecord, ...] = ()


@frozen
class Ack:
    """Answer a probe; the sender's record carries its load."""

    greeting: Greeting
    words: tuple[MemberRecord, ...] = ()


@frozen
class ProbeVia:
    """Ask a member to probe ``target`` and to pass the answer back."""

    greeting: Greeting
    target: Address


def encode_probe(probe: Probe) -> bytes:
    """Encode a probe."""
    return pack_message(probe.greeting, encode_digest(probe.words))


def decode_probe(raw: bytes) -> Probe:
    """Decode a probe; raise MembershipError when it is malformed."""
    greeting, rest = unpack_message(raw, 1)
    return Probe(greeting, _words(rest[0]))


def encode_ack(ack: Ack) -> bytes:
    """Encode an acknowledgement."""
    sender = ack.greeting.sender
    return pack_message(
        ack.greeting,
        encode_digest(ack.words),
        sender.free_slots,
        sender.queued,
    )


def decode_ack(raw: bytes) -> Ack:
    """Decode an acknowledgement; raise MembershipError when malformed."""
    greeting, rest = unpack_message(raw, 3)
    sender = evolve(
        greeting.sender,
        free_slots=check_number(rest[1], MAX_COUNTER),
        queued=check_number(rest[2], MAX_COUNTER),
    )
    return Ack(evolve(greeting, sender=sender), _words(rest[0]))


def encode_probe_via(request: ProbeVia) -> bytes:
    """Encode a request for an indirect probe."""
    target = request.target
    return pack_message(request.greeting, target.host, target.port)


def decode_probe_via(raw: bytes) -> ProbeVia:
    """Decode a request for a probe; raise MembershipError when malformed."""
    greeting, rest = unpack_message(raw, 2)
    try:
        target = Address.parse(f'{rest[0]}:{rest[1]}')
    except DragonflyshiftError as exc:
        raise MembershipError(f'the target is malformed: {exc}') from exc
    return ProbeVia(greeting, target)


def _words(raw: Any) -> tuple[MemberRecord, ...]:
    words = decode_digest(check_bytes(raw))
    if len(words) > MAX_WORDS:
        raise MembershipError(f'a message has {len(words)} words')
    return words
