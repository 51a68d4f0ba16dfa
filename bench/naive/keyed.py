"""Baseline handling of idempotency keys, which ignores keys of requests."""

from dragonflyshift._internal.sidecar.keyed import KEY_TARGET, KeyOwnerRouting
from dragonflyshift._internal.sidecar.request import RequestInfo


class RunEveryRequest(KeyOwnerRouting, name='run-again'):
    """Issues keys, but runs requests with a key without a duplicate check."""

    def handles(self, info: RequestInfo) -> bool:
        """Return whether a request asks for a new key."""
        return info.target == KEY_TARGET
