"""What publishes configuration and endpoints, as the readers see it."""

__all__ = ('HistoryLostError', 'ViewSource')

from abc import ABC, abstractmethod

from dragonflyshift._internal.carried.fleet.view import ViewUpdate
from dragonflyshift._internal.exceptions import PlatformError


class HistoryLostError(PlatformError):
    """The changes since a revision are no longer to be had."""


class ViewSource(ABC):
    """A store that can be read and watched.

    Both calls raise PlatformError when there is no usable answer.
    """

    @abstractmethod
    async def read_all(self) -> ViewUpdate:
        """Return the complete picture."""

    @abstractmethod
    async def wait(self, after: int) -> ViewUpdate:
        """Return the changes after a revision, once there are any.

        After some seconds without a change the update is empty. Raises
        HistoryLostError when the history doesn't reach back.
        """

    @abstractmethod
    def close(self) -> None:
        """Drop the connection."""
