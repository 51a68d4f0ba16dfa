"""Client of the platform's configuration service.

The service is read-only for daemons. ``GET /v1/keys/KEY`` reads a value. A
watch adds ``?wait=SECONDS`` and ``If-None-Match``; the service responds when
the value changes, or with 304 when the wait is over.
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
class FetchedValue:
    """The bytes of a value and their entity tag."""

    raw: bytes
    etag: str


class PlatformRequestError(PlatformError):
    """A request to the configuration service failed.

    ``status`` is the HTTP status, or 0 without a usable response.
    ``retry_after`` is the delay in seconds that the service requested, or 0.
    """

    def __init__(
        self,
        message: str,
        *,
        context: str,
        status: int = 0,
        retry_after: float = 0,
    ) -> None:
        """Store the status and the requested delay."""
        super().__init__(message, context=context)
        self.status = status
        self.retry_after = retry_after

    @property
    def is_missing(self) -> bool:
        """Whether the service responded that the key does not exist."""
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
        """Configure the client; connections are opened on demand.

        ``timeout`` is the limit for a request in seconds. A watch may take
        its wait in addition.
        """
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

    async def fetch(self, key: str) -> FetchedValue:
        """Return the value of a key; raise PlatformRequestError on failure."""
        fetched = await self._get(key, {}, {}, self._timeout)
        if fetched is None:
            raise _status_error(key, httpx.codes.NOT_MODIFIED)
        return fetched

    async def watch(
        self, key: str, etag: str, wait: float
    ) -> FetchedValue | None:
        """Return the value of a key once its entity tag differs from ``etag``.

        Returns None if the value did not change for ``wait`` seconds, and
        raises PlatformRequestError on failure.
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
    ) -> FetchedValue | None:
        try:
            async with asyncio.timeout(timeout):
                return await self._send_request(key, query, headers)
        except TimeoutError as exc:
            raise PlatformRequestError(
                f'no response within {timeout:g} s',
                context=key,
            ) from exc
        except (httpx.HTTPError, httpx.StreamError, httpx.InvalidURL) as exc:
            raise PlatformRequestError(
                f'the request failed: {type(exc).__name__} {exc}',
                context=key,
            ) from exc

    async def _send_request(
        self,
        key: str,
        query: dict[str, str],
        headers: dict[str, str],
    ) -> FetchedValue | None:
        async with self._http.stream(
            'GET',
            quote(key),
            params=query,
            headers=headers,
        ) as response:
            if response.status_code == httpx.codes.NOT_MODIFIED:
                # httpx closes the connection unless the response is read.
                await response.aread()
                return None
            if response.status_code != httpx.codes.OK:
                raise _status_error(
                    key,
                    response.status_code,
                    response.headers.get('Retry-After', ''),
                )
            if 'Content-Encoding' in response.headers:
                # The size of the decoded content could not be limited.
                raise _status_error(key, response.status_code)
            raw = await _read_limited(key, response.aiter_bytes())
            return FetchedValue(raw, response.headers.get('ETag', ''))


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


def _status_error(
    key: str,
    status: int,
    retry_after: str = '',
) -> PlatformRequestError:
    return PlatformRequestError(
        f'the service responded with status {status}',
        context=key,
        status=status,
        retry_after=_parse_retry_after(retry_after),
    )


def _parse_retry_after(text: str) -> float:
    """Return the delay in seconds, or 0 if the header is absent or a date."""
    try:
        seconds = float(text)
    except ValueError:
        return 0
    if not math.isfinite(seconds):
        return 0
    return min(max(seconds, 0), MAX_RETRY_AFTER_SECONDS)
