"""The exception tree.

Every layer raises errors of its own and turns those from the layer below
into them. An error carries a message, the context in which it arose, and a
hint that tells the operator what to do about it.
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
    """Base of all errors, with a message, its context and a hint."""

    def __init__(
        self,
        message: str,
        *,
        context: str = '',
        hint: str = '',
    ) -> None:
        """Keep the three parts separate, so that a report can set them."""
        super().__init__(message)
        self.message = message
        self.context = context
        self.hint = hint

    def __str__(self) -> str:
        """Join the parts into one line for logs."""
        text = self.message
        if self.context:
            text = f'{self.context}: {text}'
        if self.hint:
            text = f'{text} ({self.hint})'
        return text


class KernelError(DragonflyshiftError):
    """A plug-in is missing, doubled, or failed to load."""


class SettingsError(DragonflyshiftError):
    """The daemon's settings are invalid."""


class ConfigurationError(DragonflyshiftError):
    """An inventory, its rules or a published document is invalid."""


class PlatformError(DragonflyshiftError):
    """The platform's configuration service gave no usable answer."""


class WireError(DragonflyshiftError):
    """Bytes from the network are malformed, forged or replayed."""


class RoutingError(DragonflyshiftError):
    """No endpoint can take a flow or a request."""


class MembershipError(DragonflyshiftError):
    """A membership digest or probe is invalid."""


class StateError(DragonflyshiftError):
    """An outcome, claim or lease is unknown, expired or fenced."""


class PeerError(DragonflyshiftError):
    """A stream to another sidecar failed."""


class BackendError(DragonflyshiftError):
    """The backend server refused, cut or garbled an exchange."""


class SidecarError(DragonflyshiftError):
    """A flow or request at the sidecar can't go on."""
