"""The sockets that are bound at the very beginning of a start."""

__all__ = ('SETTINGS_VARIABLE', 'bind_early')

import json
from typing import Any

from dragonflyshift._internal.exceptions import SettingsError
from dragonflyshift._internal.utils.early_binding import BoundSockets

SETTINGS_VARIABLE = 'DRAGONFLYSHIFT_CONFIG'
_READ_ERRORS = (
    OSError,
    ValueError,
    TypeError,
    LookupError,
    AttributeError,
)


def bind_early(path: str) -> BoundSockets:
    """Bind the UDP sockets that the settings name.

    If the settings can't be read, no socket is bound. ``read_settings`` later
    raises an error that names the fault.
    """
    try:
        with open(path, encoding='utf-8') as settings:
            addresses = _listen_addresses(json.load(settings))
    except _READ_ERRORS:
        return BoundSockets()
    try:
        return BoundSockets(addresses)
    except SettingsError:
        return BoundSockets()


def _listen_addresses(body: Any) -> list[tuple[str, int]]:
    listen = body['listenAddrs']
    texts = [listen.get('outbound')]
    if body['machineClass'] == 'edge':
        texts.append(listen['packetAddr'])
    addresses = [_parse_address(text) for text in texts if text]
    return [(str(body['ip']), int(body['internalPorts'][0])), *addresses]


def _parse_address(text: str) -> tuple[str, int]:
    host, _colon, port = text.rpartition(':')
    return (host, int(port))
