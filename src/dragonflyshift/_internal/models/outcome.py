"""Idempotency keys and the outcomes stored under them."""

import enum

from attrs import frozen

from dragonflyshift._internal.models.address import Address


@frozen
class IdempotencyKey:
    """A key that the system issues for one non-idempotent request.

    It names the sidecar (``home``) and its ``boot`` number that alone may run
    the request, and a 64-bit ``nonce``.
    """

    home: Address
    boot: int
    tag: int
    nonce: int


class OutcomeKind(enum.StrEnum):
    """How a request ended."""

    ANSWERED = 'answered'
    NOT_RUN = 'not-run'
    UNKNOWN = 'unknown'


@frozen
class Outcome:
    """The end of a request: its kind and, if answered, the stored answer."""

    kind: OutcomeKind
    status: int
    headers: tuple[tuple[bytes, bytes], ...] = ()
    body: bytes = b''

    @property
    def size(self) -> int:
        """The bytes of headers and body."""
        headers = sum(len(name) + len(text) for name, text in self.headers)
        return len(self.body) + headers


@frozen
class StoredEntry:
    """An outcome under its key, as a home hands it to its peers."""

    key: IdempotencyKey
    outcome: Outcome
