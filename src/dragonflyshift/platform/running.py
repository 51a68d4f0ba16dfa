"""Runs a balancer or a sidecar of the platform until a stop signal."""

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

BALANCER_ROLE = 'balancer'
SIDECAR_ROLE = 'sidecar'
# Not parsed by a library, since importing one would prolong each start.
LOG_LEVEL_OPTION = '--log-level'
LOG_LEVELS = ('debug', 'info', 'warning', 'error')
USAGE_STATUS = 2
FAILURE_STATUS = 1
# The settings file may change without SIGHUP, so it is also polled.
SETTINGS_CHECK_INTERVAL_S = 2.0


def main(arguments: Sequence[str], sockets: BoundSockets) -> int:
    """Run the role that the arguments name; return the exit status."""
    try:
        role, log_level = _parse_arguments(arguments)
        path = _settings_path()
        settings = read_settings(path)
        configure_logging(
            log_level or settings.log_level,
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


def _parse_arguments(arguments: Sequence[str]) -> tuple[str, str]:
    """Return the role and the log level, which is empty if none is given."""
    log_level = ''
    if len(arguments) == 3 and arguments[1] == LOG_LEVEL_OPTION:
        log_level = arguments[2]
        if log_level not in LOG_LEVELS:
            raise SettingsError(
                f'{log_level!r} is not a log level',
                hint=f'choose one of {", ".join(LOG_LEVELS)}',
            )
        arguments = arguments[:1]
    if len(arguments) != 1 or arguments[0] not in (BALANCER_ROLE, SIDECAR_ROLE):
        raise SettingsError(
            f'expected one role instead of {" ".join(arguments)!r}',
            hint=(
                f'name {BALANCER_ROLE} or {SIDECAR_ROLE}, and then '
                f'{LOG_LEVEL_OPTION} LEVEL if needed'
            ),
        )
    return arguments[0], log_level


def _settings_path() -> str:
    path = os.environ.get(SETTINGS_VARIABLE)
    if not path:
        raise SettingsError(
            f'{SETTINGS_VARIABLE} is not set',
            hint=f'set {SETTINGS_VARIABLE} to the path of the settings file',
        )
    return path


def _create_node(
    role: str,
    settings: NodeSettings,
    sockets: BoundSockets,
) -> BaseNode:
    source = PlatformStore(settings.store) if settings.store else None
    # Each role imports only what it uses, as imports take most of a start.
    if role == BALANCER_ROLE:
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
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
    loop.add_signal_handler(signal.SIGHUP, reload.set)
    await node.start()
    gc.freeze()
    gc.enable()
    node.tasks.start('settings', lambda: _watch_settings(node, path, reload))
    await stop.wait()
    await node.drain()


async def _watch_settings(
    node: BaseNode,
    path: str,
    reload: asyncio.Event,
) -> None:
    """Apply the settings file when it changes, with or without SIGHUP."""
    file_state = _file_state(path)
    while True:
        try:
            async with asyncio.timeout(SETTINGS_CHECK_INTERVAL_S):
                await reload.wait()
        except TimeoutError:
            if _file_state(path) == file_state:
                continue
        reload.clear()
        file_state = _file_state(path)
        try:
            node.member.set_seeds(read_settings(path).seeds)
        except SettingsError as exc:
            logger.error('settings-refused', extra={'reason': str(exc)})


def _file_state(path: str) -> tuple[int, int]:
    try:
        status = os.stat(path)
    except OSError as exc:
        logger.warning('settings-unreadable', extra={'reason': repr(exc)})
        return (0, 0)
    return (status.st_mtime_ns, status.st_size)
