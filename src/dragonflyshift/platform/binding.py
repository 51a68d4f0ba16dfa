"""The sockets that a start binds before anything else."""

__all__ = ('SETTINGS_VARIABLE', 'bind_early')

import json
from typing import Any

from dragonflyshift._internal.exceptions import SettingsError
from dragonflyshift._internal.utils.early_binding import BoundSockets

SETTINGS_VARIABLE = 'DRAGONFLYSHIFT_CONFIG'
_UNREADABLE = (
    OSError,
    ValueError,
    TypeError,
    LookupError,
    AttributeError,
)


def bind_early(path: str) -> BoundSockets:
    """Bind the UDP sockets that the settings name.

    With settings that can't be read nothing is bound: reading them in full
    will say what is wrong.
    """
    try:
        with open(path, encoding='utf-8') as settings:
            addresses = _addresses(json.load(settings))
    except _UNREADABLE:
        return BoundSockets()
    try:
        return BoundSockets(addresses)
    except SettingsError:
        return BoundSockets()


def _addresses(body: Any) -> list[tuple[str, int]]:
    listen = body['listenAddrs']
    texts = [listen.get('outbound')]
    if body['machineClass'] == 'edge':
        texts.append(listen['packetAddr'])
    addresses = [_parse_address(text) for text in texts if text]
    return [(str(body['ip']), int(body['internalPorts'][0])), *addresses]


def _parse_address(text: str) -> tuple[str, int]:
    host, _colon, port = text.rpartition(':')
    return (host, int(port))
