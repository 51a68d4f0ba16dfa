"""The plug-in registry.

A class that derives from an abstract base and sets ``plugin_name``
registers itself under that base. Settings then choose one by name.

Example:
    >>> class Greeter(Plugin, kind='greeter'):
    ...     '''Say hello.'''
    >>> class Loud(Greeter, name='loud'):
    ...     '''Say it loudly.'''
    >>> find_plugin(Greeter, 'loud') is Loud
    True
"""

import importlib
from abc import ABC
from collections.abc import Iterable
from typing import Any, ClassVar, TypeVar

from dragonflyshift._internal.exceptions import KernelError

_PluginT = TypeVar('_PluginT', bound='Plugin')

_registry: dict[str, dict[str, type['Plugin']]] = {}


class Plugin(ABC):  # noqa: B024 -- the kinds are the abstract ones
    """Base of every plug-in kind."""

    plugin_kind: ClassVar[str] = ''
    plugin_name: ClassVar[str] = ''

    def __init_subclass__(
        cls,
        kind: str = '',
        name: str = '',
        **kwargs: Any,
    ) -> None:
        """Register a kind (an abstract base) or a plug-in of a kind."""
        super().__init_subclass__(**kwargs)
        if kind:
            cls.plugin_kind = kind
            _registry.setdefault(kind, {})
        if name:
            cls.plugin_name = name
            _add(cls)


def _add(cls: type[Plugin]) -> None:
    known = _registry.setdefault(cls.plugin_kind, {})
    present = known.get(cls.plugin_name)
    if present is not None and present.__qualname__ != cls.__qualname__:
        raise KernelError(
            f'two plug-ins are named {cls.plugin_name!r}',
            context=cls.plugin_kind,
            hint='rename one of them',
        )
    known[cls.plugin_name] = cls


def find_plugin(base: type[_PluginT], name: str) -> type[_PluginT]:
    """Return the plug-in of a kind by name; raise KernelError if unknown."""
    known = _registry.get(base.plugin_kind, {})
    found = known.get(name)
    if found is None or not issubclass(found, base):
        raise KernelError(
            f'no {base.plugin_kind} plug-in is named {name!r}',
            hint=f'known names: {", ".join(sorted(known)) or "none"}',
        )
    return found


def load_modules(names: Iterable[str]) -> None:
    """Import modules so that their plug-ins register themselves."""
    for name in names:
        try:
            importlib.import_module(name)
        except ImportError as exc:
            raise KernelError(
                f'plug-in module {name!r} can not be imported: {exc}',
                hint='check --plugin-modules and the import path',
            ) from exc
