"""Idempotency keys and the outcomes stored under them."""

import enum

from attrs import frozen

from dragonflyshift._internal.models.address import Address


@frozen
class IdempotencyKey:
    """A key that the system issues for one non-idempotent request.

    ``home`` and ``boot`` identify the key owner: the only sidecar, and the
    run of it, that may run the request. ``tag`` identifies the service, and
    ``nonce`` is a 64-bit number.
    """

    home: Address
    boot: int
    tag: int
    nonce: int


class OutcomeKind(enum.StrEnum):
    """The kinds of outcome of a request."""

    ANSWERED = 'answered'
    NOT_RUN = 'not-run'
    UNKNOWN = 'unknown'


@frozen
class Outcome:
    """The outcome of a request, with the stored response if there was one."""

    kind: OutcomeKind
    status: int
    headers: tuple[tuple[bytes, bytes], ...] = ()
    body: bytes = b''

    @property
    def size(self) -> int:
        """The total size of the headers and the body in bytes."""
        headers = sum(len(name) + len(text) for name, text in self.headers)
        return len(self.body) + headers


@frozen
class StoredEntry:
    """An outcome and its key, as a key owner replicates it to its peers."""

    key: IdempotencyKey
    outcome: Outcome
