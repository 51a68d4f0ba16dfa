"""The error that reports all faults of a document or a declaration."""

from collections.abc import Iterable

from dragonflyshift._internal.exceptions import ConfigurationError
from dragonflyshift._internal.models.fault import Fault

MAX_SHOWN_FAULTS = 5


class InvalidConfigurationError(ConfigurationError):
    """A document or declaration is invalid; ``faults`` holds each fault."""

    def __init__(self, what: str, faults: Iterable[Fault]) -> None:
        """Name the first few faults in the message."""
        self.faults = tuple(faults)
        shown = '; '.join(str(each) for each in self.faults[:MAX_SHOWN_FAULTS])
        hidden = len(self.faults) - MAX_SHOWN_FAULTS
        if hidden > 0:
            shown = f'{shown}; and {hidden} more'
        super().__init__(shown, context=what)


def raise_faults(what: str, faults: Iterable[Fault]) -> None:
    """Raise InvalidConfigurationError if there is any fault."""
    found = tuple(faults)
    if found:
        raise InvalidConfigurationError(what, found)
