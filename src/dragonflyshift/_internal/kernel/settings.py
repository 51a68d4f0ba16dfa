"""The daemon's settings, read from flags and environment variables.

Every setting has a flag and an environment variable; the flag takes
precedence. All settings are validated before any is used, and a single error
reports all faults.

Example:
    >>> read_settings([], {})
    Traceback (most recent call last):
    ...
    dragonflyshift._internal.kernel.settings.InvalidSettingsError: ...
"""

import argparse
from collections.abc import Mapping, Sequence
from typing import Any, NoReturn

from attrs import field, frozen

from dragonflyshift._internal.exceptions import (
    DragonflyshiftError,
    SettingsError,
)
from dragonflyshift._internal.kernel.certificates import check_key_pair
from dragonflyshift._internal.kernel.option_table import OPTIONS
from dragonflyshift._internal.kernel.options import PREFIX, Option, Role
from dragonflyshift._internal.models.address import Address
from dragonflyshift._internal.models.fault import Fault
from dragonflyshift._internal.wire.keys import FleetKeys

__all__ = (
    'InvalidSettingsError',
    'Role',
    'Settings',
    'build_parser',
    'read_settings',
)


@frozen
class Settings:
    """The settings of one daemon. Durations are in seconds.

    ``listen`` is a sidecar's address for datagrams and streams, or a
    balancer's for control. ``certificate`` and ``private_key`` hold PEM text.
    A ``drain_timeout`` of 0 sets no limit. With ``entry_ip`` a balancer binds
    the ports of the service addresses on that IP instead.
    """

    role: Role
    listen: Address
    data_center: str
    region: str
    platform: str
    fleet_keys: FleetKeys = field(repr=False)
    service: str = ''
    instance: str = ''
    backend: Address | None = None
    entry_ip: str = ''
    certificate: str = field(default='', repr=False)
    private_key: str = field(default='', repr=False)
    statsd: Address | None = None
    traces: str = ''
    log_level: str = 'info'
    seeds: tuple[Address, ...] = ()
    watch_wait: float = 30.0
    drain_timeout: float = 0
    idle_timeout: float = 10.0
    steering: str = 'connection-id'
    candidate_choice: str = 'rendezvous'
    flow_decision: str = 'least-loaded'
    peer_choice: str = 'power-of-two'
    admission: str = 'adaptive'
    retry_policy: str = 'budget'
    keyed_requests: str = 'home'
    plugin_modules: tuple[str, ...] = ()


class InvalidSettingsError(SettingsError):
    """Raised for invalid settings; ``faults`` holds every fault found."""

    def __init__(self, faults: Sequence[Fault]) -> None:
        """Build a message with one line for each fault."""
        lines = '\n'.join(f'  {fault}' for fault in faults)
        super().__init__(
            f'the settings are invalid:\n{lines}',
            hint='run with --help for a description of each setting',
        )
        self.faults = tuple(faults)


DEFAULTS = {
    attribute.name: attribute.default for attribute in Settings.__attrs_attrs__
}


class _RaisingParser(argparse.ArgumentParser):
    """An argument parser that raises instead of exiting the process."""

    def error(self, message: str) -> NoReturn:
        """Raise an argparse error as InvalidSettingsError."""
        raise InvalidSettingsError((Fault('command line', '', message),))


def read_settings(
    argv: Sequence[str],
    environ: Mapping[str, str],
) -> Settings:
    """Read and validate all settings.

    ``argv`` doesn't include the program name. With ``--help`` the help is
    printed and the process exits. Raises InvalidSettingsError, which lists
    every fault.
    """
    flag_texts, faults = _parse_flags(argv)
    texts = {
        option.name: (option.variable, environ[option.variable])
        for option in OPTIONS
        if environ.get(option.variable)
    }
    texts.update(flag_texts)
    values = _parse_texts(texts, faults)
    _check_required_and_role(texts, values, faults)
    if 'certificate' in values and 'private_key' in values:
        faults.extend(
            check_key_pair(values['certificate'], values['private_key'])
        )
    if faults:
        raise InvalidSettingsError(faults)
    return Settings(**values)


def build_parser() -> argparse.ArgumentParser:
    """Return the parser of the daemon's flags, also used for its help."""
    parser = _RaisingParser(
        prog='dragonflyshiftd',
        description='Run one daemon of dragonflyshift.',
        epilog=(
            'Each flag is also an environment variable: --data-center is '
            f'{PREFIX}DATA_CENTER. A flag overrides its variable. '
            'With invalid settings the daemon exits with status 2.'
        ),
        allow_abbrev=False,
    )
    for option in OPTIONS:
        parser.add_argument(
            option.flag,
            dest=option.name,
            metavar=option.metavar,
            help=_help_text(option).replace('%', '%%'),
        )
    return parser


def _help_text(option: Option) -> str:
    fragments = [option.help]
    default = DEFAULTS[option.name]
    if option.role:
        fragments.append(f'{option.role} only')
    if option.required:
        fragments.append('required')
    elif isinstance(default, str | float) and default != '':
        fragments.append(f'default {default}')
    return '; '.join(fragments)


def _parse_flags(
    argv: Sequence[str],
) -> tuple[dict[str, tuple[str, str]], list[Fault]]:
    namespace, unrecognized = build_parser().parse_known_args(argv)
    flag_texts = {
        option.name: (option.flag, getattr(namespace, option.name))
        for option in OPTIONS
        if getattr(namespace, option.name) is not None
    }
    faults = [
        Fault(argument.partition('=')[0], '', 'this argument is unknown')
        for argument in unrecognized
        if argument.startswith('-')
    ]
    if unrecognized and not faults:
        faults.append(
            Fault('command line', '', 'values without a flag are given'),
        )
    return flag_texts, faults


def _parse_texts(
    texts: Mapping[str, tuple[str, str]],
    faults: list[Fault],
) -> dict[str, Any]:
    values: dict[str, Any] = {}
    for option in OPTIONS:
        if option.name not in texts:
            continue
        source, text = texts[option.name]
        try:
            values[option.name] = option.parse(text)
        except DragonflyshiftError as exc:
            faults.append(Fault(source, '', exc.message, exc.hint))
    return values


def _check_required_and_role(
    texts: Mapping[str, tuple[str, str]],
    values: Mapping[str, Any],
    faults: list[Fault],
) -> None:
    role = values.get('role')
    for option in OPTIONS:
        present = option.name in texts
        applies = option.role in {'', role}
        if option.required and applies and not present:
            faults.append(
                Fault(
                    option.flag,
                    '',
                    'this setting is missing',
                    f'give the flag or set {option.variable}',
                ),
            )
        if present and role and not applies:
            faults.append(
                Fault(
                    texts[option.name][0],
                    '',
                    f'this setting is for the role {option.role} only',
                    'leave it out',
                ),
            )
