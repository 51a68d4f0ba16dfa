"""Strict conversion between plain data and models.

cattrs converts between types by default. This converter rejects a value of
another type, such as text for a number, a number for text, or text for a
tuple.
"""

import enum
import math
from collections.abc import Callable
from functools import partial
from types import GenericAlias
from typing import Any, TypeVar, get_args, get_origin

import attrs
import cattrs
from cattrs.gen import make_dict_structure_fn

from dragonflyshift._internal.config.explanations import (
    STRUCTURE_ERRORS,
    describe_errors,
)
from dragonflyshift._internal.config.faults import InvalidConfigurationError
from dragonflyshift._internal.exceptions import ConfigurationError
from dragonflyshift._internal.models.address import Address
from dragonflyshift._internal.models.reports import Report

MAX_TEXT_CHARACTERS = 2048

_ModelT = TypeVar('_ModelT')


def unstructure(model: object) -> Any:
    """Return a model as dictionaries, lists and scalars."""
    return _converter.unstructure(model)


def structure(plain: object, model: type[_ModelT]) -> _ModelT:
    """Build a model from plain data.

    Raises InvalidConfigurationError with a fault for each invalid value.
    """
    try:
        return _converter.structure(plain, model)
    except STRUCTURE_ERRORS as exc:
        faults = describe_errors(exc)
        raise InvalidConfigurationError(model.__name__, faults) from exc


def _structure_text(plain: object, _type: object) -> str:
    if not isinstance(plain, str):
        raise ConfigurationError('text is expected')
    if len(plain) > MAX_TEXT_CHARACTERS or not plain.isprintable():
        raise ConfigurationError('the text is too long or not printable')
    return plain


def _structure_integer(plain: object, _type: object) -> int:
    if not isinstance(plain, int) or isinstance(plain, bool):
        raise ConfigurationError('an integer is expected')
    return int(plain)


def _structure_bool(plain: object, _type: object) -> bool:
    if not isinstance(plain, bool):
        raise ConfigurationError('true or false is expected')
    return plain


def _structure_float(plain: object, _type: object) -> float:
    if not isinstance(plain, int | float) or isinstance(plain, bool):
        raise ConfigurationError('a number is expected')
    try:
        number = float(plain)
    except OverflowError:
        number = math.inf
    if not math.isfinite(number):
        raise ConfigurationError('a finite number is expected')
    return number


def _structure_address(plain: object, _type: object) -> Address:
    if not isinstance(plain, str):
        raise ConfigurationError('an address as text is expected')
    return Address.parse(plain)


def _structure_enum(plain: object, member: type[enum.StrEnum]) -> enum.StrEnum:
    values = [str(choice) for choice in member]
    if not isinstance(plain, str) or plain not in values:
        raise ConfigurationError(f'one of {", ".join(values)} is expected')
    return member(plain)


def _structure_tuple(plain: object, kind: Any) -> tuple[Any, ...]:
    if not isinstance(plain, list):
        raise ConfigurationError('an array is expected')
    item_type: Any = GenericAlias(list, get_args(kind)[:1])
    return tuple(_converter.structure(plain, item_type))


def _model_factory(kind: Any) -> Callable[[object, Any], Any]:
    from_dict = make_dict_structure_fn(
        kind,
        _converter,
        _cattrs_forbid_extra_keys=not issubclass(kind, Report),
    )
    return partial(_structure_model, from_dict)


def _structure_model(
    from_dict: Callable[[dict[str, Any], Any], Any],
    plain: object,
    kind: Any,
) -> Any:
    if not isinstance(plain, dict):
        raise ConfigurationError('a table is expected')
    return from_dict(plain, kind)


def _is_tuple(kind: Any) -> bool:
    return get_origin(kind) is tuple


def _build_converter() -> cattrs.Converter:
    converter = cattrs.Converter(forbid_extra_keys=True)
    converter.register_structure_hook_factory(attrs.has, _model_factory)
    converter.register_structure_hook_func(_is_tuple, _structure_tuple)
    # A StrEnum is also a str: cattrs uses the hook of the closest base class.
    for kind, hook in (
        (str, _structure_text),
        (enum.StrEnum, _structure_enum),
        (int, _structure_integer),
        (bool, _structure_bool),
        (float, _structure_float),
        (Address, _structure_address),
    ):
        converter.register_structure_hook(kind, hook)
    converter.register_unstructure_hook(Address, str)
    return converter


_converter = _build_converter()
