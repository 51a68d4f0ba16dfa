"""A minimal HTTP server for pages such as readiness and metrics."""

__all__ = ('HttpPages', 'Page')

import asyncio
import logging
from collections.abc import Awaitable, Callable

from attrs import define, frozen

logger = logging.getLogger(__name__)

REQUEST_TIMEOUT_S = 2.0
MAX_REQUEST_BYTES = 8192
_REQUEST_FAILURES = (OSError, EOFError, ValueError)
_REASONS = {200: 'OK', 404: 'Not Found', 503: 'Service Unavailable'}


@frozen(repr=False)
class Page:
    """The response to a request for one path."""

    status: int
    body: bytes = b''
    content_type: str = 'text/plain; charset=utf-8'


@define(eq=False, repr=False)
class HttpPages:
    """Serves pages by path on persistent connections.

    ``pages`` maps paths to coroutine functions that build their pages.
    """

    pages: dict[str, Callable[[], Awaitable[Page]]]

    async def handle(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Serve the requests of one connection."""
        try:
            while await self._answer(reader, writer):
                await writer.drain()
        except _REQUEST_FAILURES as exc:
            logger.debug('page-request-failed', extra={'reason': repr(exc)})
        finally:
            writer.close()

    async def _answer(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        async with asyncio.timeout(REQUEST_TIMEOUT_S):
            head = await reader.readuntil(b'\r\n\r\n')
        request_line = head.split(b'\r\n', 1)[0].split()
        path = (
            request_line[1].decode('latin-1') if len(request_line) > 1 else ''
        )
        build_page = self.pages.get(path.partition('?')[0])
        page = Page(404) if build_page is None else await build_page()
        closes = b'connection: close' in head.lower()
        writer.write(_encode(page, closes=closes))
        return not closes


def _encode(page: Page, *, closes: bool) -> bytes:
    reason_phrase = _REASONS.get(page.status, 'Unknown')
    lines = (
        f'HTTP/1.1 {page.status} {reason_phrase}',
        f'Content-Type: {page.content_type}',
        f'Content-Length: {len(page.body)}',
        f'Connection: {"close" if closes else "keep-alive"}',
    )
    head = '\r\n'.join(lines)
    return f'{head}\r\n\r\n'.encode('latin-1') + page.body
