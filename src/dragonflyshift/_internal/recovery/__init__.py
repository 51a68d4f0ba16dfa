"""Recovery after process pauses and the failure of balancers."""

from dragonflyshift._internal.recovery.balancers import BalancerDirectory
from dragonflyshift._internal.recovery.return_path import ReturnPath
from dragonflyshift._internal.utils.pause import (
    PauseDetector,
    suspended_seconds,
    watch_pauses,
)

__all__ = (
    'BalancerDirectory',
    'PauseDetector',
    'ReturnPath',
    'suspended_seconds',
    'watch_pauses',
)
