"""JSON calls to the control ports of stand-ins."""

import json
from typing import Any

import httpx

CALL_TIMEOUT_SECONDS = 10.0


class ControlClient:
    """JSON calls to the control port of one stand-in."""

    def __init__(self, address: str) -> None:
        self._base = f'http://{address}'
        self._http = httpx.AsyncClient(
            verify=False,
            timeout=CALL_TIMEOUT_SECONDS,
            trust_env=False,
        )

    async def get(self, path: str) -> Any:
        """Read a JSON value."""
        return (await self._call('GET', path, None)).json()

    async def put(self, path: str, value: Any) -> None:
        """Set a JSON value."""
        await self._call('PUT', path, json.dumps(value).encode())

    async def put_bytes(self, path: str, body: bytes) -> None:
        """Set a value as it stands."""
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
        answer = await self._http.request(method, url, content=body)
        answer.raise_for_status()
        return answer
