"""Reader of the rules file: defaults and overrides for each service."""

import difflib
from collections.abc import Collection, Iterator
from typing import Any

from dragonflyshift._internal.config.converter import structure
from dragonflyshift._internal.config.faults import InvalidConfigurationError
from dragonflyshift._internal.models.fault import Fault
from dragonflyshift._internal.models.rules import ServiceRules

DEFAULTS_KEY = 'defaults'
SERVICES_KEY = 'services'


class RulesReader:
    """Reads the rules of each service and collects ``faults``.

    Example:
        >>> table = {'defaults': {'queue_limit': 8}}
        >>> RulesReader('rules.toml', table).for_service('exports').queue_limit
        8
    """

    def __init__(self, source: str, table: dict[str, Any]) -> None:
        """Read ``table``, the content of the parsed file ``source``."""
        self.faults: list[Fault] = []
        self._source = source
        for key in table.keys() - {DEFAULTS_KEY, SERVICES_KEY}:
            self._add_fault(key, 'unknown key', 'use defaults and services')
        self._defaults = self._read_table(table, DEFAULTS_KEY, '')
        if self._structure(self._defaults, DEFAULTS_KEY) is None:
            self._defaults = {}
        services = self._read_table(table, SERVICES_KEY, '')
        self._rules = {
            name: self._read_service(services, name) for name in services
        }

    def for_service(self, service: str) -> ServiceRules:
        """Return a service's rules, or the defaults."""
        rules = self._rules.get(service)
        return rules or structure(self._defaults, ServiceRules)

    def check_names(self, services: Collection[str]) -> Iterator[Fault]:
        """Yield a fault for each set of rules without a declared service."""
        for name in self._rules.keys() - set(services):
            suggestions = difflib.get_close_matches(name, services, 1)
            yield Fault(
                self._source,
                f'{SERVICES_KEY}.{name}',
                'the inventory declares no such service',
                f'did you mean {suggestions[0]}?'
                if suggestions
                else 'remove the rules',
            )

    def _read_service(
        self,
        services: dict[str, Any],
        name: str,
    ) -> ServiceRules | None:
        overrides = self._read_table(services, name, f'{SERVICES_KEY}.')
        return self._structure(
            {**self._defaults, **overrides},
            f'{SERVICES_KEY}.{name}',
        )

    def _structure(
        self,
        table: dict[str, Any],
        key_path: str,
    ) -> ServiceRules | None:
        try:
            return structure(table, ServiceRules)
        except InvalidConfigurationError as exc:
            for fault in exc.faults:
                key = f'{key_path}.{fault.key}'.rstrip('.')
                self._add_fault(key, fault.message, fault.hint)
            return None

    def _read_table(
        self,
        parent: dict[str, Any],
        key: str,
        prefix: str,
    ) -> dict[str, Any]:
        table = parent.get(key, {})
        if isinstance(table, dict):
            return table
        self._add_fault(f'{prefix}{key}', 'a table is expected', '')
        return {}

    def _add_fault(self, key: str, message: str, hint: str) -> None:
        self.faults.append(Fault(self._source, key, message, hint))
