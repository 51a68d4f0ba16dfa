"""The platform's list of a service's instances, which lags behind."""

import enum

from attrs import frozen


class InstanceState(enum.StrEnum):
    """What the platform believes of an instance."""

    LIVE = 'live'
    LEAVING = 'leaving'


@frozen
class Instance:
    """One instance in the platform's list."""

    name: str
    state: InstanceState


@frozen
class InstanceList:
    """The instances of one service; only a hint, as it lags."""

    instances: tuple[Instance, ...]

    @property
    def leaving(self) -> frozenset[str]:
        """The names of the instances that leave."""
        return frozenset(
            instance.name
            for instance in self.instances
            if instance.state is InstanceState.LEAVING
        )


def instances_key(service: str) -> str:
    """Return the platform key of a service's list of instances."""
    return f'instances/{service}'
