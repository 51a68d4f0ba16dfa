"""Strict msgpack coding of attrs classes.

A class is an array of its fields in their order. Nothing is converted on the
way in: a number in a text, a missing or an extra field is an error.
"""

__all__ = ('pack', 'structure', 'unpack', 'unstructure')

import enum
from typing import Any, TypeVar

import attrs
import msgpack
from cattrs import Converter, UnstructureStrategy

from dragonflyshift._internal.exceptions import ConfigurationError, WireError
from dragonflyshift._internal.models import Address

_ObjectT = TypeVar('_ObjectT')
_SCALARS: tuple[type[Any], ...] = (bool, bytes, int, str)


def pack(fields: Any) -> bytes:
    """Encode plain data; raise WireError if msgpack has no form for it."""
    try:
        return bytes(msgpack.packb(fields, use_bin_type=True))
    except (TypeError, ValueError, OverflowError) as exc:
        raise WireError(f'message can not be encoded: {exc}') from exc


def unpack(raw: bytes) -> Any:
    """Decode plain data; raise WireError if the bytes are malformed."""
    try:
        return msgpack.unpackb(raw, raw=False, use_list=True, max_ext_len=0)
    except (msgpack.UnpackException, TypeError, ValueError) as exc:
        raise WireError(f'message is no msgpack: {exc}') from exc


def unstructure(message: Any) -> tuple[Any, ...]:
    """Turn an attrs object into plain data."""
    return tuple(_converter.unstructure(message))


def structure(fields: Any, wanted: type[_ObjectT]) -> _ObjectT:
    """Build an attrs object from plain data; raise WireError on misfits."""
    try:
        return _converter.structure(fields, wanted)
    except (TypeError, ValueError, ConfigurationError) as exc:
        raise WireError(f'{wanted.__name__} is malformed: {exc}') from exc


def _structure_scalar(raw: Any, wanted: type[Any]) -> Any:
    if raw.__class__ is not wanted:
        raise WireError(f'{type(raw).__name__} where {wanted.__name__} is due')
    return raw


def _structure_enum(
    raw: Any,
    wanted: type[enum.StrEnum],
) -> enum.StrEnum:
    return wanted(_structure_scalar(raw, str))


def _structure_address(raw: Any, _wanted: type[Address]) -> Address:
    return Address.parse(_structure_scalar(raw, str))


def _structure_class(raw: Any, wanted: type[Any]) -> Any:
    fields = attrs.fields(wanted)
    if not isinstance(raw, list) or len(raw) != len(fields):
        raise WireError(f'{wanted.__name__} needs {len(fields)} fields')
    return wanted(
        *[
            _converter.structure(part, field.type)
            for part, field in zip(raw, fields, strict=True)
        ],
    )


def _make_converter() -> Converter:
    converter = Converter(
        unstruct_strat=UnstructureStrategy.AS_TUPLE,
        detailed_validation=False,
    )
    converter.register_structure_hook_func(attrs.has, _structure_class)
    converter.register_structure_hook(Address, _structure_address)
    converter.register_unstructure_hook(Address, str)
    for scalar in _SCALARS:
        converter.register_structure_hook(scalar, _structure_scalar)
    # The hook for str would otherwise take the enums derived from it.
    converter.register_structure_hook(enum.StrEnum, _structure_enum)
    return converter


_converter = _make_converter()
