"""Strict msgpack encoding of attrs classes.

An object is encoded as an array of its fields, in the order of their
definition. Decoding converts no types: a number given as a string, a missing
field or an additional field is an error.
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
    """Encode plain data; raise WireError if msgpack can't represent it."""
    try:
        return bytes(msgpack.packb(fields, use_bin_type=True))
    except (TypeError, ValueError, OverflowError) as exc:
        raise WireError(f'message can not be encoded: {exc}') from exc


def unpack(raw: bytes) -> Any:
    """Decode plain data; raise WireError if the bytes are not valid msgpack."""
    try:
        return msgpack.unpackb(raw, raw=False, use_list=True, max_ext_len=0)
    except (msgpack.UnpackException, TypeError, ValueError) as exc:
        raise WireError(f'message is no msgpack: {exc}') from exc


def unstructure(message: Any) -> tuple[Any, ...]:
    """Convert an attrs object to a tuple of plain data."""
    return tuple(_converter.unstructure(message))


def structure(fields: Any, expected: type[_ObjectT]) -> _ObjectT:
    """Build an attrs object from plain data.

    Raises WireError if the number of fields or a type doesn't match.
    """
    try:
        return _converter.structure(fields, expected)
    except (TypeError, ValueError, ConfigurationError) as exc:
        raise WireError(f'{expected.__name__} is malformed: {exc}') from exc


def _structure_scalar(raw: Any, expected: type[Any]) -> Any:
    if raw.__class__ is not expected:
        raise WireError(
            f'{type(raw).__name__} where {expected.__name__} is due'
        )
    return raw


def _structure_enum(
    raw: Any,
    expected: type[enum.StrEnum],
) -> enum.StrEnum:
    return expected(_structure_scalar(raw, str))


def _structure_address(raw: Any, _expected: type[Address]) -> Address:
    return Address.parse(_structure_scalar(raw, str))


def _structure_class(raw: Any, expected: type[Any]) -> Any:
    fields = attrs.fields(expected)
    if not isinstance(raw, list) or len(raw) != len(fields):
        raise WireError(f'{expected.__name__} needs {len(fields)} fields')
    return expected(
        *[
            _converter.structure(element, field.type)
            for element, field in zip(raw, fields, strict=True)
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
    # StrEnum derives from str: without this hook the one for str would apply.
    converter.register_structure_hook(enum.StrEnum, _structure_enum)
    return converter


_converter = _make_converter()
