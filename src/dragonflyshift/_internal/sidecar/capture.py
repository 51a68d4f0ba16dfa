"""A sink that keeps an answer for those who ask again."""

import contextlib
from collections.abc import Iterator

from dragonflyshift._internal.exceptions import DragonflyshiftError
from dragonflyshift._internal.models import Outcome, OutcomeKind
from dragonflyshift._internal.sidecar.request import AnswerSink, HeaderList
from dragonflyshift._internal.state import without_body
from dragonflyshift._internal.state.outcomes import BODY_LIMIT_BYTES


class CapturingSink(AnswerSink):
    """Hold an answer back until it is whole, so that it can be stored.

    Nothing waits for the client meanwhile: one that went silent would hold
    up the outcome, and with it whoever asks again. Only an answer too long
    to be stored is passed on as it comes. A failure to pass it on detaches
    the client; the request still runs to its end.
    """

    def __init__(self, sink: AnswerSink) -> None:
        """Pass an answer that is too long on to ``sink``."""
        self._sink: AnswerSink | None = sink
        self._status = 0
        self._headers: HeaderList = ()
        self._held = bytearray()
        self._passing_on = False

    @property
    def started(self) -> bool:
        """Whether the head has come."""
        return self._status != 0

    def detach(self) -> None:
        """Pass nothing on any more."""
        self._sink = None

    def outcome(self) -> Outcome:
        """Return the whole answer, without a body that is too long."""
        outcome = Outcome(
            OutcomeKind.ANSWERED,
            self._status,
            self._headers,
            bytes(self._held),
        )
        return without_body(outcome) if self._passing_on else outcome

    async def send_head(self, status: int, headers: HeaderList) -> None:
        """Keep status and headers."""
        self._status = status
        self._headers = headers

    async def send_chunk(self, chunk: bytes) -> None:
        """Keep a part of the body, or pass it on if all is too long."""
        if self._passing_on:
            await self._pass_on(chunk)
            return
        self._held.extend(chunk)
        if len(self._held) > BODY_LIMIT_BYTES:
            await self._start_passing_on()

    async def finish(self) -> None:
        """End an answer that was passed on."""
        if self._passing_on and self._sink is not None:
            with self._detached_on_failure():
                await self._sink.finish()

    async def abort(self) -> None:
        """Break off an answer that was passed on."""
        if self._passing_on and self._sink is not None:
            with self._detached_on_failure():
                await self._sink.abort()

    async def _start_passing_on(self) -> None:
        self._passing_on = True
        if self._sink is not None:
            with self._detached_on_failure():
                await self._sink.send_head(self._status, self._headers)
        held = bytes(self._held)
        self._held.clear()
        await self._pass_on(held)

    async def _pass_on(self, chunk: bytes) -> None:
        if self._sink is not None:
            with self._detached_on_failure():
                await self._sink.send_chunk(chunk)

    @contextlib.contextmanager
    def _detached_on_failure(self) -> Iterator[None]:
        try:
            yield
        except DragonflyshiftError:
            self.detach()
