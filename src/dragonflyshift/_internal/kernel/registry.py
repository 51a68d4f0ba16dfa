"""The plug-in registry.

An abstract base class defines a plug-in kind. A class that derives from it
and passes the class argument ``name`` is registered under that kind, and can
then be selected by name in the settings.

Example:
    >>> class Greeter(Plugin, kind='greeter'):
    ...     '''Print a greeting.'''
    >>> class Loud(Greeter, name='loud'):
    ...     '''Print it in capitals.'''
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
    """Base class of every plug-in kind."""

    plugin_kind: ClassVar[str] = ''
    plugin_name: ClassVar[str] = ''

    def __init_subclass__(
        cls,
        kind: str = '',
        name: str = '',
        **kwargs: Any,
    ) -> None:
        """Register a kind (an abstract base class) or a plug-in of a kind."""
        super().__init_subclass__(**kwargs)
        if kind:
            cls.plugin_kind = kind
            _registry.setdefault(kind, {})
        if name:
            cls.plugin_name = name
            _register(cls)


def _register(cls: type[Plugin]) -> None:
    plugins = _registry.setdefault(cls.plugin_kind, {})
    existing = plugins.get(cls.plugin_name)
    if existing is not None and existing.__qualname__ != cls.__qualname__:
        raise KernelError(
            f'two plug-ins have the name {cls.plugin_name!r}',
            context=cls.plugin_kind,
            hint='rename one of them',
        )
    plugins[cls.plugin_name] = cls


def find_plugin(base: type[_PluginT], name: str) -> type[_PluginT]:
    """Return the class of a plug-in; raise KernelError if it is unknown."""
    plugins = _registry.get(base.plugin_kind, {})
    plugin = plugins.get(name)
    if plugin is None or not issubclass(plugin, base):
        raise KernelError(
            f'no {base.plugin_kind} plug-in has the name {name!r}',
            hint=f'known names: {", ".join(sorted(plugins)) or "none"}',
        )
    return plugin


def load_modules(names: Iterable[str]) -> None:
    """Import modules, so that their plug-ins are registered.

    Raises KernelError if a module can't be imported.
    """
    for name in names:
        try:
            importlib.import_module(name)
        except ImportError as exc:
            raise KernelError(
                f'cannot import plug-in module {name!r}: {exc}',
                hint='check --plugin-modules and the import path',
            ) from exc
