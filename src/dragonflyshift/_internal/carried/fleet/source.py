"""The interface of a store that publishes configuration and endpoints."""

__all__ = ('HistoryLostError', 'ViewSource')

from abc import ABC, abstractmethod

from dragonflyshift._internal.carried.fleet.view import ViewUpdate
from dragonflyshift._internal.exceptions import PlatformError


class HistoryLostError(PlatformError):
    """The store no longer holds the changes since a revision."""


class ViewSource(ABC):
    """A store that can be read and watched.

    Both calls raise PlatformError when the store sends no valid response.
    """

    @abstractmethod
    async def read_all(self) -> ViewUpdate:
        """Return the complete state, an update whose base is zero."""

    @abstractmethod
    async def wait(self, after: int) -> ViewUpdate:
        """Return the changes after a revision, once there are any.

        After some seconds without a change the update is empty. Raises
        HistoryLostError when the store's history starts after the revision.
        """

    @abstractmethod
    def close(self) -> None:
        """Close the connection."""
