"""Exception hierarchy.

Each layer raises its own exception class and converts the exceptions of lower
layers to it. An exception has a message, the context in which it occurred, and
a hint for the operator on how to resolve it.
"""

__all__ = (
    'BackendError',
    'ConfigurationError',
    'DragonflyshiftError',
    'KernelError',
    'MembershipError',
    'PeerError',
    'PlatformError',
    'RoutingError',
    'SettingsError',
    'SidecarError',
    'StateError',
    'WireError',
)


class DragonflyshiftError(Exception):
    """Base class of all errors, with a message, a context and a hint."""

    def __init__(
        self,
        message: str,
        *,
        context: str = '',
        hint: str = '',
    ) -> None:
        """Store the parts separately, so that they can be formatted."""
        super().__init__(message)
        self.message = message
        self.context = context
        self.hint = hint

    def __str__(self) -> str:
        """Format the parts as one line for logs."""
        text = self.message
        if self.context:
            text = f'{self.context}: {text}'
        if self.hint:
            text = f'{text} ({self.hint})'
        return text


class KernelError(DragonflyshiftError):
    """A plug-in is missing, registered twice, or failed to load."""


class SettingsError(DragonflyshiftError):
    """The daemon's settings are invalid."""


class ConfigurationError(DragonflyshiftError):
    """An inventory, its rules or a published document is invalid."""


class PlatformError(DragonflyshiftError):
    """The platform's configuration service gave no valid response."""


class WireError(DragonflyshiftError):
    """A message from the network is malformed, forged or replayed."""


class RoutingError(DragonflyshiftError):
    """No endpoint can take a flow or a request."""


class MembershipError(DragonflyshiftError):
    """A membership digest or probe is invalid."""


class StateError(DragonflyshiftError):
    """An outcome, claim or lease is unknown, expired or fenced."""


class PeerError(DragonflyshiftError):
    """A stream to another sidecar failed."""


class BackendError(DragonflyshiftError):
    """The backend server refused, aborted or corrupted an exchange."""


class SidecarError(DragonflyshiftError):
    """A flow or a request at the sidecar can't continue."""
