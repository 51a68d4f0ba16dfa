"""How an error is shown to an operator."""

from dragonflyshift._internal.exceptions import DragonflyshiftError


def format_error(exc: BaseException) -> str:
    """Return the error's message, context and hint, each on its own line.

    Example:
        >>> print(format_error(DragonflyshiftError('no', hint='ask again')))
        error: no
          hint: ask again
    """
    if not isinstance(exc, DragonflyshiftError):
        return f'error: {str(exc) or type(exc).__name__}'
    lines = [f'error: {exc.message}']
    if exc.context:
        lines.append(f'  where: {exc.context}')
    if exc.hint:
        lines.append(f'  hint: {exc.hint}')
    return '\n'.join(lines)
