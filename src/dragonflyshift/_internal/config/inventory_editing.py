"""Edit the evacuations in an inventory file, and keep its comments."""

import contextlib
import os
import shutil
import tempfile
import tomllib
from collections.abc import MutableMapping
from pathlib import Path
from typing import Any

import tomlkit
from tomlkit.exceptions import TOMLKitError

from dragonflyshift._internal.config.declaration import (
    INVENTORY_FILE,
    load_declaration,
)
from dragonflyshift._internal.exceptions import ConfigurationError
from dragonflyshift._internal.models.declaration import Declaration

_CENTERS_KEY = 'data_centers'
_EVACUATED_KEY = 'evacuated'
_REVISION_KEY = 'revision'


def set_evacuated(
    directory: Path,
    data_center: str,
    *,
    evacuated: bool,
) -> tuple[Declaration, Declaration]:
    """Evacuate or restore a data centre; return the old and new declaration.

    The revision is raised by one. Raises ConfigurationError, with the file
    unchanged, if the declaration is invalid before or after the change, if
    it lacks the data centre, or if this already is in the requested state.
    """
    path = (directory / INVENTORY_FILE).resolve()
    # The content is read once, so that the checks and the edit see the same,
    # and as bytes, so that line ends are kept.
    content = _read(path)
    text = _decode(path, content)
    old = load_declaration(directory, text)
    _check_request(old, data_center, evacuated=evacuated)
    edited = _edit(text, data_center, evacuated=evacuated)
    new = load_declaration(directory, edited)
    _replace(path, content, edited.encode())
    return old, new


def _check_request(
    declaration: Declaration,
    data_center: str,
    *,
    evacuated: bool,
) -> None:
    center = declaration.data_centers.get(data_center)
    if center is None:
        declared = ', '.join(sorted(declaration.data_centers))
        raise ConfigurationError(
            f'the data centre {data_center!r} is not declared',
            context=INVENTORY_FILE,
            hint=f'the declared data centres are: {declared}',
        )
    if center.evacuated is evacuated:
        state = 'evacuated' if evacuated else 'in service'
        raise ConfigurationError(
            f'the data centre {data_center!r} is already {state}',
            context=INVENTORY_FILE,
            hint='nothing was changed; render and publish the declaration '
            'if this is not in force yet',
        )


def _edit(text: str, data_center: str, *, evacuated: bool) -> str:
    expected = tomllib.loads(text)
    _apply(expected, data_center, evacuated=evacuated)
    edited = ''
    with contextlib.suppress(TOMLKitError):
        table = tomlkit.parse(text)
        _apply(table, data_center, evacuated=evacuated)
        edited = tomlkit.dumps(table)
    if tomllib.loads(edited) != expected:
        raise ConfigurationError(
            'the file can not be edited without changing other values',
            context=INVENTORY_FILE,
            hint=f'set {_EVACUATED_KEY} of the data centre and raise the '
            'revision with an editor',
        )
    return edited


def _apply(
    table: MutableMapping[str, Any],
    data_center: str,
    *,
    evacuated: bool,
) -> None:
    table[_CENTERS_KEY][data_center][_EVACUATED_KEY] = evacuated
    table[_REVISION_KEY] = int(table[_REVISION_KEY]) + 1


def _read(path: Path) -> bytes:
    try:
        return path.read_bytes()
    except OSError as exc:
        raise ConfigurationError(
            f'the file can not be read: {exc.strerror}',
            context=str(path),
            hint='name the directory that holds the declaration',
        ) from exc


def _decode(path: Path, content: bytes) -> str:
    try:
        return content.decode()
    except UnicodeDecodeError as exc:
        raise ConfigurationError(
            f'the file is not valid UTF-8: {exc.reason}',
            context=str(path),
        ) from exc


def _replace(path: Path, content: bytes, edited: bytes) -> None:
    """Replace a file atomically unless it changed since it was read."""
    handle, name = tempfile.mkstemp(prefix=f'.{path.name}.', dir=path.parent)
    temporary = Path(name)
    try:
        with os.fdopen(handle, 'wb') as stream:
            stream.write(edited)
            stream.flush()
            os.fsync(stream.fileno())
        shutil.copymode(path, temporary)
        if path.read_bytes() != content:
            raise ConfigurationError(
                'the file was changed by someone else meanwhile',
                context=str(path),
                hint='repeat the command',
            )
        temporary.replace(path)
    finally:
        temporary.unlink(missing_ok=True)
