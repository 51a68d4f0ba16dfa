"""Naive handling of idempotency keys: none."""

from dragonflyshift._internal.sidecar.keyed import KEY_TARGET, HomeKeyed
from dragonflyshift._internal.sidecar.request import RequestInfo


class RunAgain(HomeKeyed, name='run-again'):
    """Issue keys, and run every request that carries one."""

    def concerns(self, info: RequestInfo) -> bool:
        """Take care of those alone that ask for a key."""
        return info.target == KEY_TARGET
