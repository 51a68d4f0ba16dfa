"""Client for the control ports of stand-ins."""

import json
import time
from typing import Any

import httpx

CALL_TIMEOUT_SECONDS = 10.0


class ControlClient:
    """Sends JSON requests to the control port of one stand-in."""

    def __init__(self, address: str) -> None:
        self._base = f'http://{address}'
        self._http = httpx.AsyncClient(
            verify=False,
            timeout=CALL_TIMEOUT_SECONDS,
            trust_env=False,
        )

    async def get(self, path: str) -> Any:
        """Return the JSON value at a path."""
        return (await self._call('GET', path, None)).json()

    async def put(self, path: str, value: Any) -> None:
        """Send a JSON value to a path."""
        await self._call('PUT', path, json.dumps(value).encode())

    async def put_bytes(self, path: str, body: bytes) -> None:
        """Send raw bytes to a path."""
        await self._call('PUT', path, body)

    async def aclose(self) -> None:
        """Close the connections."""
        await self._http.aclose()

    async def _call(
        self,
        method: str,
        path: str,
        body: bytes | None,
    ) -> httpx.Response:
        url = self._base + path
        started_at = time.monotonic()
        try:
            response = await self._http.request(method, url, content=body)
        except httpx.TimeoutException as exc:
            # The kind shows whether the stand-in accepted the connection, and
            # the time beyond the limit how long this process stood still.
            elapsed_s = time.monotonic() - started_at
            exc.add_note(
                f'{method} {url}: {type(exc).__name__} after {elapsed_s:.1f} s'
            )
            raise
        response.raise_for_status()
        return response
