"""Naive handling of idempotency keys: none."""

from dragonflyshift._internal.sidecar.keyed import KEY_TARGET, KeyOwnerRouting
from dragonflyshift._internal.sidecar.request import RequestInfo


class RunAgain(KeyOwnerRouting, name='run-again'):
    """Issue keys, and run every request that carries one."""

    def handles(self, info: RequestInfo) -> bool:
        """Return whether a request asks for a new key."""
        return info.target == KEY_TARGET
