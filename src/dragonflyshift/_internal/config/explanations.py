"""Turn the errors of cattrs into faults that an operator can act on."""

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


def explain(exc: Exception) -> tuple[Fault, ...]:
    """Return a fault, with its place, for each error that cattrs found."""
    if not isinstance(exc, cattrs.BaseValidationError):
        return (Fault('', '', _explain_one(exc, None)),)
    lines = cattrs.transform_error(exc, _ROOT, _explain_one)
    return tuple(_to_fault(line) for line in lines)


def _explain_one(exc: BaseException, _expected: object) -> str:
    if isinstance(exc, KeyError):
        return 'a required key is missing'
    if isinstance(exc, cattrs.ForbiddenExtraKeysError):
        return _explain_unknown(exc)
    if isinstance(exc, AttributeError):
        return 'a table is expected'  # A mapping takes no other value.
    if isinstance(exc, DragonflyshiftError):
        return str(exc)
    return str(exc) or 'the value has another type'


def _explain_unknown(exc: cattrs.ForbiddenExtraKeysError) -> str:
    known = [attribute.name for attribute in attrs.fields(exc.cl)]
    unknown = sorted(exc.extra_fields)
    names = ', '.join(repr(name) for name in unknown)[:MAX_SHOWN_CHARACTERS]
    # The comparison is quadratic, and a document may come from anywhere.
    close = difflib.get_close_matches(
        unknown[0][:MAX_COMPARED_CHARACTERS], known, 1
    )
    if close:
        return f'unknown key {names}, did you mean {close[0]!r}?'
    return f'unknown key {names}, known are {", ".join(known)}'


def _to_fault(line: str) -> Fault:
    message, _separator, path = line.rpartition(f' @ {_ROOT}')
    return Fault('', _MAPPING_KEY.sub(r'.\1', path).lstrip('.'), message)
