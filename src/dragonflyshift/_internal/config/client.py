"""Client of the platform's configuration service.

The service can only be read and watched. A value is read with
``GET /v1/keys/KEY``; a watch adds ``?wait=SECONDS`` and ``If-None-Match``
and is answered on a change, or with 304 after the wait.
"""

import asyncio
import math
from collections.abc import AsyncIterator
from types import TracebackType
from typing import Self
from urllib.parse import quote

import httpx
from attrs import frozen

from dragonflyshift._internal.config.documents import MAX_DOCUMENT_BYTES
from dragonflyshift._internal.exceptions import PlatformError

REQUEST_TIMEOUT_SECONDS = 5
MAX_RETRY_AFTER_SECONDS = 60


@frozen
class Fetched:
    """A value as it was read, and the tag that names this state of it."""

    raw: bytes
    etag: str


class PlatformRequestError(PlatformError):
    """A request failed.

    ``retry_after`` holds the seconds to wait if the service named them, and
    ``status`` the HTTP status, or 0 if there was no usable answer.
    """

    def __init__(
        self,
        message: str,
        *,
        context: str,
        status: int = 0,
        retry_after: float = 0,
    ) -> None:
        """Keep what the service said."""
        super().__init__(message, context=context)
        self.status = status
        self.retry_after = retry_after

    @property
    def is_missing(self) -> bool:
        """Whether the service works, but holds no value under the key."""
        return self.status == httpx.codes.NOT_FOUND


class PlatformClient:
    """Read and watch keys of the configuration service.

    Example:
        >>> async def read(url: str) -> bytes:
        ...     async with PlatformClient(url) as client:
        ...         return (await client.fetch('dragonflyshift/index')).raw
    """

    def __init__(
        self,
        url: str,
        timeout: float = REQUEST_TIMEOUT_SECONDS,
        transport: httpx.AsyncBaseTransport | None = None,
    ) -> None:
        """Prepare; connections are opened when needed."""
        self._timeout = timeout
        self._http = httpx.AsyncClient(
            base_url=f'{url.rstrip("/")}/v1/keys/',
            headers={'Accept-Encoding': 'identity'},
            timeout=None,
            transport=transport,
            trust_env=False,
        )

    async def __aenter__(self) -> Self:
        """Return the client itself."""
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Close all connections."""
        await self.close()

    async def close(self) -> None:
        """Close all connections."""
        await self._http.aclose()

    async def fetch(self, key: str) -> Fetched:
        """Read a key; raise PlatformError when that fails."""
        fetched = await self._get(key, {}, {}, self._timeout)
        if fetched is None:
            raise _failure(key, httpx.codes.NOT_MODIFIED)
        return fetched

    async def watch(self, key: str, etag: str, wait: float) -> Fetched | None:
        """Return the value once it differs from ``etag``.

        None means that it did not change for ``wait`` seconds.
        """
        return await self._get(
            key,
            {'wait': f'{wait:.3f}'},
            {'If-None-Match': etag},
            self._timeout + wait,
        )

    async def _get(
        self,
        key: str,
        query: dict[str, str],
        headers: dict[str, str],
        timeout: float,
    ) -> Fetched | None:
        try:
            async with asyncio.timeout(timeout):
                return await self._exchange(key, query, headers)
        except TimeoutError as exc:
            raise PlatformRequestError(
                f'no answer within {timeout:g} s',
                context=key,
            ) from exc
        except (httpx.HTTPError, httpx.StreamError, httpx.InvalidURL) as exc:
            raise PlatformRequestError(
                f'the request failed: {type(exc).__name__} {exc}',
                context=key,
            ) from exc

    async def _exchange(
        self,
        key: str,
        query: dict[str, str],
        headers: dict[str, str],
    ) -> Fetched | None:
        async with self._http.stream(
            'GET',
            quote(key),
            params=query,
            headers=headers,
        ) as answer:
            if answer.status_code == httpx.codes.NOT_MODIFIED:
                # Without the end of the answer the connection is closed.
                await answer.aread()
                return None
            if answer.status_code != httpx.codes.OK:
                raise _failure(
                    key,
                    answer.status_code,
                    answer.headers.get('Retry-After', ''),
                )
            if 'Content-Encoding' in answer.headers:
                # What it inflates to could not be bounded.
                raise _failure(key, answer.status_code)
            raw = await _read_limited(key, answer.aiter_bytes())
            return Fetched(raw, answer.headers.get('ETag', ''))


async def _read_limited(key: str, chunks: AsyncIterator[bytes]) -> bytes:
    raw = bytearray()
    async for chunk in chunks:
        raw += chunk
        if len(raw) > MAX_DOCUMENT_BYTES:
            raise PlatformRequestError(
                f'the value has more than {MAX_DOCUMENT_BYTES} bytes',
                context=key,
                status=httpx.codes.OK,
            )
    return bytes(raw)


def _failure(
    key: str,
    status: int,
    retry_after: str = '',
) -> PlatformRequestError:
    return PlatformRequestError(
        f'the service answered with status {status}',
        context=key,
        status=status,
        retry_after=_parse_retry_after(retry_after),
    )


def _parse_retry_after(text: str) -> float:
    """Return the seconds; 0 when the header is absent or a date."""
    try:
        seconds = float(text)
    except ValueError:
        return 0
    if not math.isfinite(seconds):
        return 0
    return min(max(seconds, 0), MAX_RETRY_AFTER_SECONDS)
