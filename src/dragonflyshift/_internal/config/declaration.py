"""Load and validate the operators' inventory and rules.

A declaration is a directory with ``inventory.toml`` and an optional
``rules.toml``. All faults of both files are reported together.
"""

import tomllib
from collections.abc import Iterator
from pathlib import Path
from typing import Any

from dragonflyshift._internal.config.conflicts import check_conflicts
from dragonflyshift._internal.config.converter import structure
from dragonflyshift._internal.config.evacuation import (
    RESERVED_METHOD,
    is_reserved_rule,
)
from dragonflyshift._internal.config.faults import (
    InvalidConfigurationError,
    raise_faults,
)
from dragonflyshift._internal.config.rules import RulesReader
from dragonflyshift._internal.config.validation import (
    MAX_VERSION,
    check_name,
    check_service,
    service_tag,
)
from dragonflyshift._internal.models.declaration import (
    Declaration,
    EndpointEntry,
    Inventory,
    ServiceEntry,
)
from dragonflyshift._internal.models.documents import (
    ServiceDocument,
    ServiceState,
)
from dragonflyshift._internal.models.endpoint import Endpoint, EndpointState
from dragonflyshift._internal.models.fault import Fault
from dragonflyshift._internal.models.rules import ServiceRules

INVENTORY_FILE = 'inventory.toml'
RULES_FILE = 'rules.toml'
_RULES_PREFIX = 'rules.'
_UNKNOWN_REGION = 'unknown'


def load_declaration(
    directory: Path,
    inventory_text: str | None = None,
) -> Declaration:
    """Read and validate a declaration.

    ``inventory_text`` replaces the content of the inventory file.

    Raises InvalidConfigurationError. Each of its ``faults`` holds the file,
    the key, a message and a hint.
    """
    inventory, faults = _load_inventory(directory, inventory_text)
    rules = _load_rules(directory, faults)
    if inventory is None:
        raise InvalidConfigurationError(str(directory), faults)
    faults.extend(_check_inventory(inventory))
    faults.extend(rules.check_names(inventory.services))
    documents = tuple(
        _build_document(inventory, name, rules.for_service(name))
        for name in inventory.services
    )
    for document in documents:
        faults.extend(_check_document(document))
    faults.extend(check_conflicts(INVENTORY_FILE, documents))
    raise_faults(str(directory), faults)
    return Declaration(inventory.revision, documents, inventory.data_centers)


def _load_inventory(
    directory: Path,
    text: str | None,
) -> tuple[Inventory | None, list[Fault]]:
    try:
        table = _read_toml(directory, INVENTORY_FILE, text)
        return structure(table, Inventory), []
    except InvalidConfigurationError as exc:
        return None, [
            Fault(INVENTORY_FILE, fault.key, fault.message, fault.hint)
            for fault in exc.faults
        ]


def _load_rules(directory: Path, faults: list[Fault]) -> RulesReader:
    table: dict[str, Any] = {}
    if (directory / RULES_FILE).exists():
        try:
            table = _read_toml(directory, RULES_FILE)
        except InvalidConfigurationError as exc:
            faults.extend(exc.faults)
    reader = RulesReader(RULES_FILE, table)
    faults.extend(reader.faults)
    return reader


def _read_toml(
    directory: Path,
    name: str,
    text: str | None = None,
) -> dict[str, Any]:
    try:
        return tomllib.loads(
            (directory / name).read_text(encoding='utf-8')
            if text is None
            else text,
        )
    except OSError as exc:
        fault = Fault(
            name,
            '',
            f'the file can not be read: {exc.strerror}',
            'name the directory that holds the declaration',
        )
    except (ValueError, RecursionError) as exc:
        fault = Fault(name, '', f'the file is not valid TOML: {exc}')
    raise InvalidConfigurationError(str(directory), (fault,))


def _check_inventory(inventory: Inventory) -> Iterator[Fault]:
    if not 1 <= inventory.revision <= MAX_VERSION:
        yield _fault(
            'revision',
            f'{inventory.revision} is out of range',
            'count up from 1 with every change',
        )
    if not inventory.services:
        yield _fault(
            'services',
            'no service is declared',
            'stop the daemons after the last service has ended',
        )
    for name, center in inventory.data_centers.items():
        key_path = f'data_centers.{name}'
        for fault in (
            *check_name(key_path, name),
            *check_name(f'{key_path}.region', center.region),
        ):
            yield _fault(fault.key, fault.message, fault.hint)
    for service_name, service in inventory.services.items():
        yield from _check_service_entry(inventory, service_name, service)


def _check_service_entry(
    inventory: Inventory,
    name: str,
    service: ServiceEntry,
) -> Iterator[Fault]:
    for position, entry in enumerate(service.endpoints):
        if entry.data_center not in inventory.data_centers:
            yield _fault(
                f'services.{name}.endpoints[{position}].data_center',
                f'the data centre {entry.data_center!r} is not declared',
                f'add [data_centers.{entry.data_center}] with its region',
            )
    states = {endpoint.state for endpoint in service.endpoints}
    is_serving = service.state is ServiceState.SERVING
    if is_serving and states == {EndpointState.LEAVING}:
        yield _fault(
            f'services.{name}.endpoints',
            'the service is serving, but all its endpoints leave',
            'keep one, or set the state of the service to winding-down',
        )


def _build_document(
    inventory: Inventory,
    name: str,
    rules: ServiceRules,
) -> ServiceDocument:
    service = inventory.services[name]
    return ServiceDocument(
        name=name,
        organisation=service.organisation,
        tag=service_tag(name),
        version=inventory.revision,
        addresses=service.addresses,
        endpoints=tuple(
            _build_endpoint(inventory, endpoint)
            for endpoint in service.endpoints
        ),
        rules=rules,
        state=service.state,
        evacuated=_evacuated_data_centers(inventory, service),
    )


def _evacuated_data_centers(
    inventory: Inventory,
    service: ServiceEntry,
) -> tuple[str, ...]:
    used = {endpoint.data_center for endpoint in service.endpoints}
    return tuple(
        name
        for name, center in sorted(inventory.data_centers.items())
        if center.evacuated and name in used
    )


def _build_endpoint(inventory: Inventory, entry: EndpointEntry) -> Endpoint:
    center = inventory.data_centers.get(entry.data_center)
    return Endpoint(
        name=entry.name,
        address=entry.address,
        data_center=entry.data_center,
        region=_UNKNOWN_REGION if center is None else center.region,
        slots=entry.slots,
        weight=entry.weight,
        state=entry.state,
    )


def _check_document(document: ServiceDocument) -> Iterator[Fault]:
    key_path = f'services.{document.name}'
    for fault in check_service(document):
        if fault.key == 'version':
            # Each document's version is the revision, already checked by
            # _check_inventory.
            continue
        source = INVENTORY_FILE
        key = fault.key
        if key.startswith(_RULES_PREFIX):
            source = RULES_FILE
            key = key.removeprefix(_RULES_PREFIX)
        yield Fault(source, f'{key_path}.{key}', fault.message, fault.hint)
    if any(map(is_reserved_rule, document.rules.idempotent)):
        yield Fault(
            RULES_FILE,
            f'{key_path}.idempotent',
            f'the method {RESERVED_METHOD} is reserved',
            'declare an evacuation in the inventory',
        )


def _fault(key: str, message: str, hint: str) -> Fault:
    return Fault(INVENTORY_FILE, key, message, hint)
