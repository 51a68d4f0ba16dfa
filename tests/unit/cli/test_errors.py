import unittest

from dragonflyshift._internal.cli.error_exit_codes import exit_code_of
from dragonflyshift._internal.cli.errors import format_error
from dragonflyshift._internal.cli.exit_codes import ExitCode
from dragonflyshift._internal.exceptions import (
    KernelError,
    PeerError,
    WireError,
)


class ErrorsTest(unittest.TestCase):
    def test_format(self) -> None:
        exc = PeerError('no answer', context='10.0.0.1:1', hint='start it')
        self.assertEqual(
            format_error(exc),
            'error: no answer\n  where: 10.0.0.1:1\n  hint: start it',
        )
        self.assertEqual(format_error(OSError()), 'error: OSError')

    def test_exit_codes(self) -> None:
        for exc, exit_code in (
            (PeerError('x'), ExitCode.UNREACHABLE),
            (WireError('x'), ExitCode.BAD_REPLY),
            (KernelError('x'), ExitCode.INTERNAL),
        ):
            self.assertIs(exit_code_of(exc), exit_code)
