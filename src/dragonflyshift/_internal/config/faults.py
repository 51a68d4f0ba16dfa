"""Error that carries all faults of a document or a declaration."""

from collections.abc import Iterable

from dragonflyshift._internal.exceptions import ConfigurationError
from dragonflyshift._internal.models.fault import Fault

MAX_SHOWN_FAULTS = 5


class InvalidConfigurationError(ConfigurationError):
    """A document or declaration is invalid; ``faults`` lists the reasons."""

    def __init__(self, subject: str, faults: Iterable[Fault]) -> None:
        """Build the message from the first MAX_SHOWN_FAULTS faults."""
        self.faults = tuple(faults)
        shown = '; '.join(
            str(fault) for fault in self.faults[:MAX_SHOWN_FAULTS]
        )
        hidden = len(self.faults) - MAX_SHOWN_FAULTS
        if hidden > 0:
            shown = f'{shown}; and {hidden} more'
        super().__init__(shown, context=subject)


def raise_faults(subject: str, faults: Iterable[Fault]) -> None:
    """Raise InvalidConfigurationError unless ``faults`` is empty."""
    found = tuple(faults)
    if found:
        raise InvalidConfigurationError(subject, found)
