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
from operator import attrgetter
from typing import Any, TypeVar, Union, get_args, get_origin, get_type_hints

import attrs

_RowT = TypeVar('_RowT')
_Decoder = Callable[[Any], Any]
# Values of these classes are encoded as they are.
_PLAIN_CLASSES = frozenset((bool, bytes, float, int, str, type(None)))
_is_row_class: Callable[[Any], bool] = cache(attrs.has)


def encode_row(item: Any) -> list[Any]:
    """Return the field values of an attrs object, nested objects as rows."""
    return [
        part if part.__class__ in _PLAIN_CLASSES else _encode(part)
        for part in _reader(_as_cache_key(item.__class__))(item)
    ]


def decode_row(cls: type[_RowT], row: Any) -> _RowT:
    """Decode an attrs object; raise ValueError or TypeError if malformed."""
    fields = _fields(_as_cache_key(cls))
    if not isinstance(row, list) or len(row) != len(fields):
        raise ValueError(
            f'row for {cls.__name__} is not a list of {len(fields)} values',
        )
    return cls(
        *[
            part if part.__class__ in kinds else decode(part)
            for (kinds, decode), part in zip(fields, row, strict=True)
        ],
    )


def _encode(part: Any) -> Any:
    if part.__class__ is tuple:
        return [_encode(element) for element in part]
    if _is_row_class(_as_cache_key(part.__class__)):
        return encode_row(part)
    return part


def _as_cache_key(cls: Any) -> Any:
    """Return a class as is, typed so that mypy takes it as a cache key."""
    return cls


@cache
def _names(cls: Any) -> tuple[str, ...]:
    return tuple(attribute.name for attribute in attrs.fields(cls))


@cache
def _reader(cls: Any) -> Callable[[Any], tuple[Any, ...]]:
    """Return a function that reads all field values of an object."""
    names = _names(cls)
    if len(names) == 1:
        return lambda item: (getattr(item, names[0]),)
    return attrgetter(*names)


@cache
def _fields(cls: Any) -> tuple[tuple[tuple[type, ...], _Decoder], ...]:
    """Return the classes that each field takes undecoded, and its decoder."""
    hints = get_type_hints(cls)
    return tuple(
        (_plain_kinds(hints[name]), _decoder(hints[name]))
        for name in _names(_as_cache_key(cls))
    )


def _plain_kinds(hint: Any) -> tuple[type, ...]:
    if hint is float:
        return (int, float)
    return (hint,) if hint in _PLAIN_CLASSES else ()


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
    return partial(_checked, _plain_kinds(hint))


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


def _checked(kinds: tuple[type, ...], part: Any) -> Any:
    # The class must match exactly, as bool is a subclass of int.
    if part.__class__ not in kinds:
        raise TypeError(
            f'expected {kinds[0].__name__} instead of {type(part).__name__}',
        )
    return part


def _enum_member(kind: type[enum.Enum], part: Any) -> enum.Enum:
    return kind(part)
