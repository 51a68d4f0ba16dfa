"""Parsers that convert the text of a setting to a validated value.

Each parser raises SettingsError or another subclass of DragonflyshiftError.
Parsers of secrets never include the text in an error.
"""

import enum
import ipaddress
import math
import re
from collections.abc import Callable
from functools import partial
from urllib.parse import urlsplit

from attrs import frozen

from dragonflyshift._internal.exceptions import SettingsError
from dragonflyshift._internal.models.address import Address

PREFIX = 'DRAGONFLYSHIFT_'
_NAME = re.compile('[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?')
_MODULE = re.compile(r'[A-Za-z_]\w*(\.[A-Za-z_]\w*)*', re.ASCII)

Parser = Callable[[str], object]


class Role(enum.StrEnum):
    """The role of a daemon."""

    BALANCER = 'balancer'
    SIDECAR = 'sidecar'


@frozen
class Option:
    """The definition of one setting.

    If ``role`` is set, the setting applies only to daemons of that role.
    """

    name: str
    parse: Parser
    help: str
    metavar: str = 'NAME'
    required: bool = False
    role: str = ''

    @property
    def flag(self) -> str:
        """The command-line flag of the setting."""
        return f'--{self.name.replace("_", "-")}'

    @property
    def variable(self) -> str:
        """The environment variable of the setting."""
        return PREFIX + self.name.upper()


def parse_choice(choices: tuple[str, ...], text: str) -> str:
    """Return the text if it is one of the choices."""
    if text not in choices:
        raise SettingsError(
            f'{text!r} is not a valid choice',
            hint=f'choose from {", ".join(choices)}',
        )
    return text


def one_of(*choices: str) -> Parser:
    """Return a parser that accepts one of the choices."""
    return partial(parse_choice, choices)


def parse_name(text: str) -> str:
    """Accept a name, such as that of a service, data centre or plug-in."""
    if _NAME.fullmatch(text) is None:
        raise SettingsError(
            f'{text!r} is not a valid name',
            hint='use up to 63 lower-case letters, digits, dots and hyphens',
        )
    return text


def parse_addresses(text: str) -> tuple[Address, ...]:
    """Parse a comma-separated list of addresses."""
    return tuple(Address.parse(part) for part in split_list(text))


def parse_modules(text: str) -> tuple[str, ...]:
    """Parse a comma-separated list of Python module names."""
    names = split_list(text)
    for name in names:
        if _MODULE.fullmatch(name) is None:
            raise SettingsError(
                f'{name!r} is not a valid Python module name',
                hint='give a dotted name, such as package.module',
            )
    return names


def split_list(text: str) -> tuple[str, ...]:
    """Split at commas; strip white space and drop empty items."""
    parts = (part.strip() for part in text.split(','))
    return tuple(part for part in parts if part)


def parse_ip(text: str) -> str:
    """Accept an IPv4 address or an empty text."""
    if not text:
        return ''
    try:
        return str(ipaddress.IPv4Address(text))
    except ValueError as exc:
        raise SettingsError(
            f'{text!r} is not an IPv4 address',
            hint='give it in dotted notation, such as 192.0.2.1',
        ) from exc


def parse_url(text: str) -> str:
    """Accept an http or https URL without credentials.

    A trailing slash is removed. The error omits the text, which may contain
    credentials.
    """
    try:
        parts = urlsplit(text)
        usable = parts.scheme in {'http', 'https'} and bool(parts.hostname)
        usable = usable and parts.port != 0
    except ValueError:
        usable = False
    if not usable or '@' in text:
        raise SettingsError(
            'the URL is not valid',
            hint='give it as http://HOST[:PORT] without user name or password',
        )
    return text.rstrip('/')


def parse_optional_url(text: str) -> str:
    """Accept a URL or an empty text."""
    return parse_url(text) if text else ''


def parse_seconds(low: float, high: float, text: str) -> float:
    """Parse a number of seconds between ``low`` and ``high``."""
    try:
        seconds = float(text)
    except ValueError:
        seconds = math.nan
    if not low <= seconds <= high:
        raise SettingsError(
            f'{text!r} is not a number of seconds in the valid range',
            hint=f'give a number between {low:g} and {high:g}',
        )
    return seconds


def seconds_between(low: float, high: float) -> Parser:
    """Return a parser for seconds between ``low`` and ``high``."""
    return partial(parse_seconds, low, high)
