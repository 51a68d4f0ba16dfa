"""Read the processor time and memory of a process from Linux."""

import os
from pathlib import Path

from attrs import frozen

_TICKS_PER_SECOND = os.sysconf('SC_CLK_TCK')
_PAGE_BYTES = os.sysconf('SC_PAGE_SIZE')
_USER_FIELD = 11
_SYSTEM_FIELD = 12
_RESIDENT_FIELD = 1


@frozen
class ProcessCost:
    """Processor time since the start and current resident memory."""

    cpu_seconds: float
    resident_bytes: int

    @classmethod
    def read(cls, pid: int) -> 'ProcessCost':
        """Read the costs of a process from ``/proc``."""
        proc = Path('/proc') / str(pid)
        # The command name, in parentheses, may contain spaces.
        fields = (proc / 'stat').read_text().rpartition(')')[2].split()
        ticks = int(fields[_USER_FIELD]) + int(fields[_SYSTEM_FIELD])
        pages = int((proc / 'statm').read_text().split()[_RESIDENT_FIELD])
        return cls(ticks / _TICKS_PER_SECOND, pages * _PAGE_BYTES)
