"""Convert cattrs errors to faults with a key and a readable message."""

import difflib
import re

import attrs
import cattrs

from dragonflyshift._internal.exceptions import DragonflyshiftError
from dragonflyshift._internal.models.fault import Fault

MAX_SHOWN_CHARACTERS = 120
MAX_COMPARED_CHARACTERS = 40
STRUCTURE_ERRORS = (
    cattrs.BaseValidationError,
    ValueError,
    TypeError,
    AttributeError,
    DragonflyshiftError,
)
_ROOT = '$'
_MAPPING_KEY = re.compile(r"\['([^']*)'\]")


def describe_errors(exc: Exception) -> tuple[Fault, ...]:
    """Return a fault with its key for each error in a cattrs exception."""
    if not isinstance(exc, cattrs.BaseValidationError):
        return (Fault('', '', _describe_error(exc, None)),)
    lines = cattrs.transform_error(exc, _ROOT, _describe_error)
    return tuple(_to_fault(line) for line in lines)


def _describe_error(exc: BaseException, _expected: object) -> str:
    if isinstance(exc, KeyError):
        return 'a required key is missing'
    if isinstance(exc, cattrs.ForbiddenExtraKeysError):
        return _describe_unknown_keys(exc)
    if isinstance(exc, AttributeError):
        # cattrs calls items() on the value of a mapping.
        return 'a table is expected'
    if isinstance(exc, DragonflyshiftError):
        return str(exc)
    return str(exc) or 'the value has another type'


def _describe_unknown_keys(exc: cattrs.ForbiddenExtraKeysError) -> str:
    known_keys = [attribute.name for attribute in attrs.fields(exc.cl)]
    unknown_keys = sorted(exc.extra_fields)
    names = ', '.join(repr(name) for name in unknown_keys)[
        :MAX_SHOWN_CHARACTERS
    ]
    # The comparison takes quadratic time, and the document is untrusted.
    suggestions = difflib.get_close_matches(
        unknown_keys[0][:MAX_COMPARED_CHARACTERS], known_keys, 1
    )
    if suggestions:
        return f'unknown key {names}, did you mean {suggestions[0]!r}?'
    return f'unknown key {names}, known are {", ".join(known_keys)}'


def _to_fault(line: str) -> Fault:
    message, _separator, path = line.rpartition(f' @ {_ROOT}')
    return Fault('', _MAPPING_KEY.sub(r'.\1', path).lstrip('.'), message)
