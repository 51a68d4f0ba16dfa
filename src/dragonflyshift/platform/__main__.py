"""Entry point: ``python3 -m dragonflyshift.platform ROLE``."""

import gc
import os
import signal
import sys
from types import ModuleType

from dragonflyshift.platform.binding import SETTINGS_VARIABLE, bind_early

# Nothing here speaks TLS, and loading it would prolong each start.
sys.modules.setdefault('ssl', None)  # type: ignore[arg-type]
# No class here uses attrs' validators; building them is a tenth of a start.
sys.modules.setdefault('attr.validators', ModuleType('attr.validators'))


def _run() -> int:
    # Until it is handled a reload would end the process; nothing is read yet.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    sockets = bind_early(os.environ.get(SETTINGS_VARIABLE, ''))
    # What a start allocates stays; searching it for garbage is in vain.
    gc.disable()
    # Most of a start is the loading of this: packets wait meanwhile.
    from dragonflyshift.platform.running import main

    return main(sys.argv[1:], sockets)


if __name__ == '__main__':
    sys.exit(_run())
