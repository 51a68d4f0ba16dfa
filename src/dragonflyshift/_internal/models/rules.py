"""Rules that operators define for a service."""

import enum

from attrs import frozen


class Locality(enum.StrEnum):
    """The area around a balancer in which new flows may be placed."""

    DATA_CENTER = 'data-center'
    REGION = 'region'
    ANYWHERE = 'anywhere'


@frozen
class ServiceRules:
    """Limits and deadlines of one service.

    Durations are in seconds. ``idempotent`` lists patterns of the form
    ``METHOD /path-prefix``. Matching requests may be retried; GET, HEAD and
    OPTIONS requests may always be retried. ``retry_ratio`` is the number of
    retries allowed for each first attempt. ``queue_limit`` is the maximum
    number of requests that wait at one endpoint.
    """

    connections: int = 2000
    queue_limit: int = 32
    request_timeout: float = 30.0
    stream_timeout: float = 43200.0
    retry_ratio: float = 0.1
    slow_start: float = 5.0
    locality: Locality = Locality.DATA_CENTER
    idempotent: tuple[str, ...] = ()
    streaming: tuple[str, ...] = ()
