"""Processor time and memory of a process, as Linux accounts them."""

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
    """Processor seconds since the start, and resident bytes now."""

    cpu_seconds: float
    resident_bytes: int

    @classmethod
    def read(cls, pid: int) -> 'ProcessCost':
        """Read what the kernel says of a process."""
        proc = Path('/proc') / str(pid)
        # The command's name, in parentheses, may contain spaces.
        fields = (proc / 'stat').read_text().rpartition(')')[2].split()
        ticks = int(fields[_USER_FIELD]) + int(fields[_SYSTEM_FIELD])
        pages = int((proc / 'statm').read_text().split()[_RESIDENT_FIELD])
        return cls(ticks / _TICKS_PER_SECOND, pages * _PAGE_BYTES)
