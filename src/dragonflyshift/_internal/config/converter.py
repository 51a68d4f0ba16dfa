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


def structure(data: object, model: type[_ModelT]) -> _ModelT:
    """Build a model from plain data.

    Raises InvalidConfigurationError with a fault for each invalid value.
    """
    try:
        return _converter.structure(data, model)
    except STRUCTURE_ERRORS as exc:
        faults = describe_errors(exc)
        raise InvalidConfigurationError(model.__name__, faults) from exc


def _structure_text(data: object, _type: object) -> str:
    if not isinstance(data, str):
        raise ConfigurationError('text is expected')
    if len(data) > MAX_TEXT_CHARACTERS or not data.isprintable():
        raise ConfigurationError('the text is too long or not printable')
    return data


def _structure_integer(data: object, _type: object) -> int:
    if not isinstance(data, int) or isinstance(data, bool):
        raise ConfigurationError('an integer is expected')
    return int(data)


def _structure_bool(data: object, _type: object) -> bool:
    if not isinstance(data, bool):
        raise ConfigurationError('true or false is expected')
    return data


def _structure_float(data: object, _type: object) -> float:
    if not isinstance(data, int | float) or isinstance(data, bool):
        raise ConfigurationError('a number is expected')
    try:
        number = float(data)
    except OverflowError:
        number = math.inf
    if not math.isfinite(number):
        raise ConfigurationError('a finite number is expected')
    return number


def _structure_address(data: object, _type: object) -> Address:
    if not isinstance(data, str):
        raise ConfigurationError('an address as text is expected')
    return Address.parse(data)


def _structure_enum(
    data: object, enum_type: type[enum.StrEnum]
) -> enum.StrEnum:
    values = [str(choice) for choice in enum_type]
    if not isinstance(data, str) or data not in values:
        raise ConfigurationError(f'one of {", ".join(values)} is expected')
    return enum_type(data)


def _structure_tuple(data: object, tuple_type: Any) -> tuple[Any, ...]:
    if not isinstance(data, list):
        raise ConfigurationError('an array is expected')
    item_type: Any = GenericAlias(list, get_args(tuple_type)[:1])
    return tuple(_converter.structure(data, item_type))


def _model_factory(model: Any) -> Callable[[object, Any], Any]:
    from_dict = make_dict_structure_fn(
        model,
        _converter,
        _cattrs_forbid_extra_keys=not issubclass(model, Report),
    )
    return partial(_structure_model, from_dict)


def _structure_model(
    from_dict: Callable[[dict[str, Any], Any], Any],
    data: object,
    model: Any,
) -> Any:
    if not isinstance(data, dict):
        raise ConfigurationError('a table is expected')
    return from_dict(data, model)


def _is_tuple(field_type: Any) -> bool:
    return get_origin(field_type) is tuple


def _build_converter() -> cattrs.Converter:
    converter = cattrs.Converter(forbid_extra_keys=True)
    converter.register_structure_hook_factory(attrs.has, _model_factory)
    converter.register_structure_hook_func(_is_tuple, _structure_tuple)
    # A StrEnum is also a str: cattrs uses the hook of the closest base class.
    for value_type, hook in (
        (str, _structure_text),
        (enum.StrEnum, _structure_enum),
        (int, _structure_integer),
        (bool, _structure_bool),
        (float, _structure_float),
        (Address, _structure_address),
    ):
        converter.register_structure_hook(value_type, hook)
    converter.register_unstructure_hook(Address, str)
    return converter


_converter = _build_converter()
