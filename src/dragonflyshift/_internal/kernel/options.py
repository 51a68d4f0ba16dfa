"""How the text of one setting becomes a checked value.

Each parser raises SettingsError or another error of the tree. Parsers of
secrets never repeat the text in an error.
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
    """What a daemon does."""

    BALANCER = 'balancer'
    SIDECAR = 'sidecar'


@frozen
class Option:
    """One setting: its name, its parser and the help that describes it.

    ``role`` limits it to one role of the daemon.
    """

    name: str
    parse: Parser
    help: str
    metavar: str = 'NAME'
    required: bool = False
    role: str = ''

    @property
    def flag(self) -> str:
        """The command-line flag."""
        return f'--{self.name.replace("_", "-")}'

    @property
    def variable(self) -> str:
        """The environment variable."""
        return PREFIX + self.name.upper()


def parse_choice(choices: tuple[str, ...], text: str) -> str:
    """Accept one of some words."""
    if text not in choices:
        raise SettingsError(
            f'{text!r} is not a valid choice',
            hint=f'choose from {", ".join(choices)}',
        )
    return text


def choice(*choices: str) -> Parser:
    """Return a parser that accepts one of some words."""
    return partial(parse_choice, choices)


def parse_name(text: str) -> str:
    """Accept the name of a service, an instance, a place or a plug-in."""
    if _NAME.fullmatch(text) is None:
        raise SettingsError(
            f'{text!r} is not a name',
            hint='use up to 63 lower-case letters, digits, dots and hyphens',
        )
    return text


def parse_addresses(text: str) -> tuple[Address, ...]:
    """Accept addresses with commas between them."""
    return tuple(Address.parse(part) for part in split_list(text))


def parse_modules(text: str) -> tuple[str, ...]:
    """Accept names of Python modules with commas between them."""
    names = split_list(text)
    for name in names:
        if _MODULE.fullmatch(name) is None:
            raise SettingsError(
                f'{name!r} is not the name of a Python module',
                hint='write it with dots, such as package.module',
            )
    return names


def split_list(text: str) -> tuple[str, ...]:
    """Split at commas; drop blanks and empty parts."""
    parts = (part.strip() for part in text.split(','))
    return tuple(part for part in parts if part)


def parse_ip(text: str) -> str:
    """Accept an IPv4 address, or nothing."""
    if not text:
        return ''
    try:
        return str(ipaddress.IPv4Address(text))
    except ValueError as exc:
        raise SettingsError(
            f'{text!r} is not an IPv4 address',
            hint='write it with dots, such as 192.0.2.1',
        ) from exc


def parse_url(text: str) -> str:
    """Accept an http or https URL without credentials in it."""
    try:
        parts = urlsplit(text)
        usable = parts.scheme in {'http', 'https'} and bool(parts.hostname)
        usable = usable and parts.port != 0
    except ValueError:
        usable = False
    if not usable or '@' in text:
        raise SettingsError(
            'the URL is not usable',
            hint='write it as http://HOST[:PORT] without a user or password',
        )
    return text.rstrip('/')


def parse_optional_url(text: str) -> str:
    """Accept a URL, or nothing."""
    return parse_url(text) if text else ''


def parse_seconds(low: float, high: float, text: str) -> float:
    """Accept a number of seconds between two bounds."""
    try:
        seconds = float(text)
    except ValueError:
        seconds = math.nan
    if not low <= seconds <= high:
        raise SettingsError(
            f'{text!r} is not a number of seconds in range',
            hint=f'give a number between {low:g} and {high:g}',
        )
    return seconds


def seconds_between(low: float, high: float) -> Parser:
    """Return a parser that accepts seconds between two bounds."""
    return partial(parse_seconds, low, high)
