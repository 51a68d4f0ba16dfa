"""One thing that is wrong with settings or a declaration."""

from attrs import frozen


@frozen
class Fault:
    """A fault: where it stands, what is wrong, and what to do about it.

    ``source`` is a file, flag or environment variable, ``key`` the place in
    it (empty when the source says it all).
    """

    source: str
    key: str
    message: str
    hint: str = ''

    def __str__(self) -> str:
        """Format as one line."""
        place = ': '.join(part for part in (self.source, self.key) if part)
        text = f'{place}: {self.message}' if place else self.message
        return f'{text} ({self.hint})' if self.hint else text
