"""Admission control: limits on the requests that a backend server runs."""

from dragonflyshift._internal.limits.adaptive import AdaptiveAdmission
from dragonflyshift._internal.limits.base import (
    Admission,
    QueueFullError,
    Ticket,
)
from dragonflyshift._internal.limits.fair_share import FairShareAdmission

__all__ = (
    'AdaptiveAdmission',
    'Admission',
    'FairShareAdmission',
    'QueueFullError',
    'Ticket',
)
