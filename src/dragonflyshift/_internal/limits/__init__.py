"""Admission control: limits on the requests that a backend server runs."""

from dragonflyshift._internal.limits.adaptive import AdaptiveAdmission
from dragonflyshift._internal.limits.base import (
    Admission,
    QueueFullError,
    Ticket,
)

__all__ = ('AdaptiveAdmission', 'Admission', 'QueueFullError', 'Ticket')
