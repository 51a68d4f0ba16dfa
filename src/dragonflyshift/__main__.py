"""Entry point of the command line for operators."""

import sys

from dragonflyshift._internal.cli.application import run

__all__ = ('main',)


def main() -> int:
    """Run the command line and return its exit status."""
    return run()


if __name__ == '__main__':
    sys.exit(main())
