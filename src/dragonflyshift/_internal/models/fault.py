"""Invalid value in settings, a document or a declaration."""

from attrs import frozen


@frozen
class Fault:
    """An invalid value: its location, a message and a hint.

    ``source`` is a file, flag or environment variable. ``key`` is the path
    to the value within the source, or empty if the source is sufficient.
    """

    source: str
    key: str
    message: str
    hint: str = ''

    def __str__(self) -> str:
        """Format as one line."""
        location = ': '.join(part for part in (self.source, self.key) if part)
        text = f'{location}: {self.message}' if location else self.message
        return f'{text} ({self.hint})' if self.hint else text
