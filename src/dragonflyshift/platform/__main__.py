"""Entry point: ``python3 -m dragonflyshift.platform ROLE``."""

import sys

# Nothing here speaks TLS, and loading it would cost each start 30 ms.
sys.modules.setdefault('ssl', None)  # type: ignore[arg-type]

from dragonflyshift.platform.running import main  # noqa: E402

if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
