"""Run a role from the platform's settings until it is told to stop."""

__all__ = ('main',)

import asyncio
import gc
import logging
import os
import signal
import sys
from collections.abc import Sequence

from dragonflyshift._internal.carried.node import BaseNode
from dragonflyshift._internal.carried.node_settings import NodeSettings
from dragonflyshift._internal.carried.telemetry import configure_logging
from dragonflyshift._internal.exceptions import (
    DragonflyshiftError,
    SettingsError,
)
from dragonflyshift._internal.utils.early_binding import BoundSockets
from dragonflyshift.platform.binding import SETTINGS_VARIABLE
from dragonflyshift.platform.packets import PlatformCodec
from dragonflyshift.platform.settings import read_settings
from dragonflyshift.platform.store import PlatformStore

logger = logging.getLogger(__name__)

BALANCER = 'balancer'
SIDECAR = 'sidecar'
USAGE_STATUS = 2
FAILURE_STATUS = 1
# The settings file may change without a signal.
SETTINGS_CHECK_S = 2.0


def main(arguments: Sequence[str], sockets: BoundSockets) -> int:
    """Run a role; return the process's exit status."""
    try:
        role = _role(arguments)
        path = _settings_path()
        settings = read_settings(path)
        configure_logging(
            settings.log_level,
            node=settings.name,
            role=role,
        )
        node = _create_node(role, settings, sockets)
        asyncio.run(_serve(node, path))
    except SettingsError as exc:
        sys.stderr.write(f'error: {exc}\n')
        return USAGE_STATUS
    except DragonflyshiftError as exc:
        sys.stderr.write(f'error: {exc}\n')
        return FAILURE_STATUS
    return 0


def _role(arguments: Sequence[str]) -> str:
    if len(arguments) != 1 or arguments[0] not in (BALANCER, SIDECAR):
        raise SettingsError(
            'one role expected',
            hint=f'name {BALANCER} or {SIDECAR}',
        )
    return arguments[0]


def _settings_path() -> str:
    path = os.environ.get(SETTINGS_VARIABLE)
    if not path:
        raise SettingsError(
            'no settings file',
            hint=f'set {SETTINGS_VARIABLE} to its path',
        )
    return path


def _create_node(
    role: str,
    settings: NodeSettings,
    sockets: BoundSockets,
) -> BaseNode:
    source = PlatformStore(settings.store) if settings.store else None
    # Each role imports only what it uses; imports are most of a start.
    if role == BALANCER:
        from dragonflyshift._internal.carried.balancer.node import (
            BalancerNode,
        )

        return BalancerNode(settings, PlatformCodec(), source, sockets)
    from dragonflyshift._internal.carried.sidecar.node import SidecarNode

    return SidecarNode(settings, PlatformCodec(), source, sockets)


async def _serve(node: BaseNode, path: str) -> None:
    stop = asyncio.Event()
    reload = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    loop.add_signal_handler(signal.SIGHUP, reload.set)
    await node.start()
    gc.freeze()
    gc.enable()
    reloads = asyncio.create_task(_watch_settings(node, path, reload))
    await stop.wait()
    reloads.cancel()
    await node.drain()


async def _watch_settings(
    node: BaseNode,
    path: str,
    reload: asyncio.Event,
) -> None:
    """Apply a changed settings file, signalled or not."""
    changed_at = _changed_at(path)
    while True:
        try:
            async with asyncio.timeout(SETTINGS_CHECK_S):
                await reload.wait()
        except TimeoutError:
            if _changed_at(path) == changed_at:
                continue
        reload.clear()
        changed_at = _changed_at(path)
        try:
            node.member.set_seeds(read_settings(path).seeds)
        except SettingsError as exc:
            logger.error('settings-refused', extra={'reason': str(exc)})


def _changed_at(path: str) -> tuple[int, int]:
    try:
        status = os.stat(path)
    except OSError as exc:
        logger.warning('settings-unreadable', extra={'reason': repr(exc)})
        return (0, 0)
    return (status.st_mtime_ns, status.st_size)
