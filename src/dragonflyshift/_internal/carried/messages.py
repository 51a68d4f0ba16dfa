"""Datagrams between balancers and sidecars of carried flows.

Each is a msgpack array: a code, then the fields of one message class.
"""

__all__ = (
    'Ask',
    'Carry',
    'Notice',
    'Open',
    'Placement',
    'Status',
    'Verdict',
    'decode_datagram',
)

import enum
from collections.abc import Callable
from typing import Any

import msgpack
from attrs import frozen

from dragonflyshift._internal.carried.load import LoadReport
from dragonflyshift._internal.carried.packet import FLOW_KEY_BYTES, FlowKey
from dragonflyshift._internal.carried.records import EndpointRecord
from dragonflyshift._internal.exceptions import WireError

_OPEN = 1
_CARRY = 2
_ASK = 3
_PLACEMENT = 4
_STATUS = 5
_NOTICE = 6


class Verdict(enum.IntEnum):
    """What a sidecar says of a flow."""

    ACCEPTED = 0
    REFUSED = 1
    OWNED = 2
    NOT_OWNED = 3
    UNSURE = 4
    # About no flow: only the load is news.
    LOAD = 5


@frozen
class Open:
    """A flow's first packet, for a sidecar to admit.

    ``slots`` is what the register lists for the backend server, ``version``
    the configuration that the balancer placed the flow by. ``is_last`` says
    that no other sidecar will be asked.
    """

    service: str
    kind: int
    target_ms: int
    timeout_ms: int
    priority: int
    slots: int
    version: int
    waited_ms: int
    is_last: bool
    raw: bytes

    def encode(self) -> bytes:
        """Return the datagram."""
        return _pack(
            (
                _OPEN,
                self.service,
                self.kind,
                self.target_ms,
                self.timeout_ms,
                self.priority,
                self.slots,
                self.version,
                self.waited_ms,
                self.is_last,
                self.raw,
            )
        )

    @classmethod
    def of(cls, row: list[Any]) -> 'Open':
        """Read the fields of a datagram."""
        service, kind, target, timeout, priority, slots = row[:6]
        version, waited, is_last, raw = row[6:]
        return cls(
            service=_text(service),
            kind=_number(kind),
            target_ms=_number(target),
            timeout_ms=_number(timeout),
            priority=_number(priority),
            slots=_number(slots),
            version=_number(version),
            waited_ms=_number(waited),
            is_last=bool(is_last),
            raw=_octets(raw),
        )


@frozen
class Carry:
    """A later packet of a flow, for its owner."""

    service: str
    raw: bytes

    def encode(self) -> bytes:
        """Return the datagram."""
        return _pack((_CARRY, self.service, self.raw))

    @classmethod
    def of(cls, row: list[Any]) -> 'Carry':
        """Read the fields of a datagram."""
        service, raw = row
        return cls(_text(service), _octets(raw))


@frozen
class Ask:
    """The question to a sidecar whether it holds a flow.

    ``acknowledged`` is of the client's packet. While a flow opens at two
    backend servers, it tells whose answer the client took.
    """

    service: str
    key: FlowKey
    acknowledged: int

    def encode(self) -> bytes:
        """Return the datagram."""
        return _pack((_ASK, self.service, self.key, self.acknowledged))

    @classmethod
    def of(cls, row: list[Any]) -> 'Ask':
        """Read the fields of a datagram."""
        service, key, acknowledged = row
        return cls(_text(service), _flow_key(key), _number(acknowledged))


@frozen
class Placement:
    """A sidecar's verdict on a flow, with its load.

    ``raw`` returns a packet that the sidecar could not deliver.
    """

    key: FlowKey
    verdict: Verdict
    load: LoadReport
    raw: bytes = b''

    def encode(self) -> bytes:
        """Return the datagram."""
        return _pack(
            (
                _PLACEMENT,
                self.key,
                int(self.verdict),
                self.load.astuple(),
                self.raw,
            )
        )

    @classmethod
    def of(cls, row: list[Any]) -> 'Placement':
        """Read the fields of a datagram."""
        key, verdict, load, raw = row
        return cls(
            _flow_key(key),
            Verdict(verdict),
            LoadReport.of(_row(load)),
            _octets(raw),
        )


@frozen
class Status:
    """What a daemon holds, told to its peers.

    ``age_ms`` is the time since the store confirmed the view, here or at a
    daemon that this one has it from; a reader has it from the store itself.
    ``digest`` is over the endpoints' names and revisions. ``peers`` are
    balancers' addresses. ``wants_reply`` asks for the receiver's status.
    """

    is_balancer: bool
    is_reader: bool
    data_center: str
    revision: int
    version: int
    digest: int
    age_ms: int
    is_leaving: bool
    wants_reply: bool
    peers: tuple[str, ...] = ()
    load: LoadReport | None = None

    def encode(self) -> bytes:
        """Return the datagram."""
        return _pack(
            (
                _STATUS,
                self.is_balancer,
                self.is_reader,
                self.data_center,
                self.revision,
                self.version,
                self.digest,
                self.age_ms,
                self.is_leaving,
                self.wants_reply,
                self.peers,
                self.load.astuple() if self.load else None,
            )
        )

    @classmethod
    def of(cls, row: list[Any]) -> 'Status':
        """Read the fields of a datagram."""
        is_balancer, is_reader, data_center, revision = row[:4]
        version, digest, age, is_leaving, wants_reply, peers, load = row[4:]
        return cls(
            is_balancer=bool(is_balancer),
            is_reader=bool(is_reader),
            data_center=_text(data_center),
            revision=_number(revision),
            version=_number(version),
            digest=_number(digest),
            age_ms=_number(age),
            is_leaving=bool(is_leaving),
            wants_reply=bool(wants_reply),
            peers=tuple(_text(peer) for peer in _row(peers)),
            load=None if load is None else LoadReport.of(_row(load)),
        )


@frozen
class Notice:
    """Endpoint changes after revision ``base``, small enough for a datagram."""

    base: int
    revision: int
    version: int
    age_ms: int
    records: tuple[EndpointRecord, ...]
    removed: tuple[tuple[str, int], ...]

    def encode(self) -> bytes:
        """Return the datagram."""
        return _pack(
            (
                _NOTICE,
                self.base,
                self.revision,
                self.version,
                self.age_ms,
                [record.astuple() for record in self.records],
                self.removed,
            )
        )

    @classmethod
    def of(cls, row: list[Any]) -> 'Notice':
        """Read the fields of a datagram."""
        base, revision, version, age, records, removed = row
        return cls(
            base=_number(base),
            revision=_number(revision),
            version=_number(version),
            age_ms=_number(age),
            records=tuple(
                EndpointRecord.of(_row(fields)) for fields in _row(records)
            ),
            removed=tuple(_removal(pair) for pair in _row(removed)),
        )


Datagram = Open | Carry | Ask | Placement | Status | Notice

_DECODERS: dict[int, Callable[[list[Any]], Datagram]] = {
    _OPEN: Open.of,
    _CARRY: Carry.of,
    _ASK: Ask.of,
    _PLACEMENT: Placement.of,
    _STATUS: Status.of,
    _NOTICE: Notice.of,
}


def decode_datagram(raw: bytes) -> Datagram:
    """Decode a datagram; raise WireError when anything in it is off."""
    try:
        fields = msgpack.unpackb(raw)
        decode = _DECODERS[fields[0]]
        return decode(fields[1:])
    except (
        ValueError,
        TypeError,
        LookupError,
        msgpack.UnpackException,
    ) as exc:
        raise WireError(f'datagram is malformed: {exc}') from exc


def _pack(fields: tuple[object, ...]) -> bytes:
    return bytes(msgpack.packb(fields))


def _text(value: object) -> str:
    if not isinstance(value, str):
        raise TypeError('text expected')
    return value


def _number(value: object) -> int:
    if not isinstance(value, int):
        raise TypeError('number expected')
    return value


def _octets(value: object) -> bytes:
    if not isinstance(value, bytes):
        raise TypeError('bytes expected')
    return value


def _row(value: Any) -> list[Any]:
    if not isinstance(value, list):
        raise TypeError('array expected')
    return value


def _flow_key(value: object) -> FlowKey:
    key = _octets(value)
    if len(key) != FLOW_KEY_BYTES:
        raise ValueError('flow key has a wrong length')
    return key


def _removal(value: object) -> tuple[str, int]:
    name, revision = _row(value)
    return (_text(name), _number(revision))
