"""Entry point: ``python3 -m dragonflyshift.platform ROLE``."""

import gc
import os
import signal
import sys
from types import ModuleType

from dragonflyshift.platform.binding import SETTINGS_VARIABLE, bind_early

# No code of these roles uses TLS, and importing ssl would prolong each start.
# The library of the metrics page needs it, and load_exposition unblocks it.
sys.modules.setdefault('ssl', None)  # type: ignore[arg-type]
# No class of these roles uses attr.validators; importing it takes a tenth of a
# start.
sys.modules.setdefault('attr.validators', ModuleType('attr.validators'))


def _run() -> int:
    # Until a handler is installed, SIGHUP would end the process. Ignoring it
    # loses nothing, as the settings haven't been read yet.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    sockets = bind_early(os.environ.get(SETTINGS_VARIABLE, ''))
    # Objects that are allocated during the start stay in use, so garbage
    # collection would find nothing to free.
    gc.disable()
    # This import takes most of the start. Packets that arrive meanwhile wait
    # in the buffers of the bound sockets.
    from dragonflyshift.platform.running import main

    return main(sys.argv[1:], sockets)


if __name__ == '__main__':
    sys.exit(_run())
