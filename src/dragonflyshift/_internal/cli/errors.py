"""Formatting of errors for operators."""

from dragonflyshift._internal.exceptions import DragonflyshiftError


def format_error(exc: BaseException) -> str:
    """Return an error's message, context and hint, each on its own line.

    Example:
        >>> exc = DragonflyshiftError('no response', hint='try again')
        >>> print(format_error(exc))
        error: no response
          hint: try again
    """
    if not isinstance(exc, DragonflyshiftError):
        return f'error: {str(exc) or type(exc).__name__}'
    lines = [f'error: {exc.message}']
    if exc.context:
        lines.append(f'  where: {exc.context}')
    if exc.hint:
        lines.append(f'  hint: {exc.hint}')
    return '\n'.join(lines)
