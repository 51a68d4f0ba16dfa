"""Entry point of the daemon, ``dragonflyshiftd``."""

import asyncio
import logging
import os
import signal
import sys
from collections.abc import Mapping, Sequence

from dragonflyshift._internal.cli.errors import format_error
from dragonflyshift._internal.cli.exit_codes import ExitCode
from dragonflyshift._internal.exceptions import (
    DragonflyshiftError,
    KernelError,
    SettingsError,
)
from dragonflyshift._internal.kernel.registry import find_plugin, load_modules
from dragonflyshift._internal.kernel.role import DaemonRole
from dragonflyshift._internal.kernel.settings import Settings, read_settings
from dragonflyshift._internal.telemetry import configure_logging

logger = logging.getLogger(__name__)

BUILT_IN_MODULES = (
    'dragonflyshift._internal.balancer',
    'dragonflyshift._internal.sidecar',
    'dragonflyshift._internal.routing',
    'dragonflyshift._internal.limits',
    'dragonflyshift._internal.retries',
)
STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


async def _serve(settings: Settings) -> None:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in STOP_SIGNALS:
        loop.add_signal_handler(signal_number, stop.set)
    role = find_plugin(DaemonRole, settings.role.value)(settings)
    stopping = asyncio.create_task(stop.wait(), name='stop')
    try:
        await _run_until(role, stopping)
    finally:
        stopping.cancel()
        await role.close()


async def _run_until(role: DaemonRole, stopping: asyncio.Task[bool]) -> None:
    """Start a role, and drain it after a stop signal.

    A stop signal during startup cancels the startup without draining, as no
    work is in progress yet.
    """
    starting = asyncio.create_task(role.start(), name='start')
    await asyncio.wait(
        (starting, stopping),
        return_when=asyncio.FIRST_COMPLETED,
    )
    if not starting.done():
        starting.cancel()
        return
    starting.result()
    logger.info('ready')
    await stopping
    logger.info('draining')
    await role.drain()
    logger.info('stopped')


def main(
    argv: Sequence[str] | None = None,
    environ: Mapping[str, str] | None = None,
) -> int:
    """Run a daemon until it receives a stop signal; return its exit status.

    ``argv`` and ``environ`` default to those of the process.
    """
    arguments = sys.argv[1:] if argv is None else argv
    try:
        settings = read_settings(
            arguments,
            os.environ if environ is None else environ,
        )
        load_modules((*BUILT_IN_MODULES, *settings.plugin_modules))
        configure_logging(
            settings.log_level,
            settings.role.value,
            settings.instance or str(settings.listen),
        )
        asyncio.run(_serve(settings))
    except (SettingsError, KernelError) as exc:
        sys.stderr.write(f'{format_error(exc)}\n')
        return ExitCode.USAGE
    except DragonflyshiftError as exc:
        sys.stderr.write(f'{format_error(exc)}\n')
        return ExitCode.FAILURE
    return ExitCode.OK


if __name__ == '__main__':
    sys.exit(main())
