"""Admission of requests to an endpoint's slots."""

from dragonflyshift._internal.limits.adaptive import Adaptive
from dragonflyshift._internal.limits.base import (
    Admission,
    QueueFullError,
    Ticket,
)

__all__ = ('Adaptive', 'Admission', 'QueueFullError', 'Ticket')
