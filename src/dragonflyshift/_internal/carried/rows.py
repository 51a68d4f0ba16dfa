"""Encoding of attrs objects as msgpack rows: their field values in order.

Example:
    >>> @frozen
    ... class Point:
    ...     x: int
    ...     y: int
    >>> encode_row(Point(1, 2))
    [1, 2]
    >>> decode_row(Point, [1, 2])
    Point(x=1, y=2)
"""

__all__ = ('decode_row', 'encode_row')

import enum
import types
from collections.abc import Callable
from functools import cache, partial
from typing import Any, TypeVar, Union, get_args, get_origin, get_type_hints

import attrs

_RowT = TypeVar('_RowT')
_Decoder = Callable[[Any], Any]


def encode_row(item: Any) -> list[Any]:
    """Return the field values of an attrs object, nested objects as rows."""
    return [
        _encode(getattr(item, name))
        for name in _names(_as_cache_key(item.__class__))
    ]


def decode_row(cls: type[_RowT], row: Any) -> _RowT:
    """Decode an attrs object; raise ValueError or TypeError if malformed."""
    decoders = _decoders(_as_cache_key(cls))
    if not isinstance(row, list) or len(row) != len(decoders):
        raise ValueError(
            f'row for {cls.__name__} is not a list of {len(decoders)} values',
        )
    return cls(
        *(decode(part) for decode, part in zip(decoders, row, strict=True)),
    )


def _encode(part: Any) -> Any:
    if isinstance(part, tuple):
        return [_encode(element) for element in part]
    if attrs.has(type(part)):
        return encode_row(part)
    return part


def _as_cache_key(cls: Any) -> Any:
    """Return a class as is, typed so that mypy takes it as a cache key."""
    return cls


@cache
def _names(cls: Any) -> tuple[str, ...]:
    return tuple(attribute.name for attribute in attrs.fields(cls))


@cache
def _decoders(cls: Any) -> tuple[_Decoder, ...]:
    hints = get_type_hints(cls)
    return tuple(_decoder(hints[name]) for name in _names(_as_cache_key(cls)))


def _decoder(hint: Any) -> _Decoder:
    origin = get_origin(hint)
    if origin in (types.UnionType, Union):
        return _optional(_decoder(get_args(hint)[0]))
    if origin is tuple:
        return _sequence(get_args(hint))
    if attrs.has(hint):
        return partial(decode_row, hint)
    if issubclass(hint, enum.Enum):
        return partial(_enum_member, hint)
    return _primitive(hint)


def _optional(decode: _Decoder) -> _Decoder:
    return lambda part: None if part is None else decode(part)


def _sequence(hints: tuple[Any, ...]) -> _Decoder:
    if hints[-1] is Ellipsis:
        decode = _decoder(hints[0])
        return lambda part: tuple(decode(element) for element in _array(part))
    decoders = [_decoder(hint) for hint in hints]
    return lambda part: tuple(
        decode_one(element)
        for decode_one, element in zip(decoders, _array(part), strict=True)
    )


def _array(part: Any) -> list[Any]:
    if not isinstance(part, list):
        raise TypeError(f'expected a list instead of {type(part).__name__}')
    return part


def _primitive(kind: type) -> _Decoder:
    return partial(_checked, (int, float) if kind is float else (kind,))


def _checked(kinds: tuple[type, ...], part: Any) -> Any:
    # The class must match exactly, as bool is a subclass of int.
    if part.__class__ not in kinds:
        raise TypeError(
            f'expected {kinds[0].__name__} instead of {type(part).__name__}',
        )
    return part


def _enum_member(kind: type[enum.Enum], part: Any) -> enum.Enum:
    return kind(part)
