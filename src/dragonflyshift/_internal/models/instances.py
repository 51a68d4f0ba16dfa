"""The platform's list of a service's instances."""

import enum

from attrs import frozen


class InstanceState(enum.StrEnum):
    """State of an instance in the platform's list."""

    LIVE = 'live'
    LEAVING = 'leaving'


@frozen
class Instance:
    """One instance in the platform's list."""

    name: str
    state: InstanceState


@frozen
class InstanceList:
    """The instances of one service.

    The list is updated with a delay, so that it is only a hint.
    """

    instances: tuple[Instance, ...]

    @property
    def leaving(self) -> frozenset[str]:
        """The names of the leaving instances."""
        return frozenset(
            instance.name
            for instance in self.instances
            if instance.state is InstanceState.LEAVING
        )


def instances_key(service: str) -> str:
    """Return the platform key of a service's list of instances."""
    return f'instances/{service}'
