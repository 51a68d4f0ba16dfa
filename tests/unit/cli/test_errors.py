import unittest

from dragonflyshift._internal.cli.errors import format_error
from dragonflyshift._internal.cli.exit_status import status_of
from dragonflyshift._internal.cli.status_codes import StatusCode
from dragonflyshift._internal.exceptions import (
    KernelError,
    PeerError,
    WireError,
)


class ErrorsTest(unittest.TestCase):
    def test_parts(self) -> None:
        exc = PeerError('no answer', context='10.0.0.1:1', hint='start it')
        self.assertEqual(
            format_error(exc),
            'error: no answer\n  where: 10.0.0.1:1\n  hint: start it',
        )
        self.assertEqual(format_error(OSError()), 'error: OSError')

    def test_statuses(self) -> None:
        for exc, status in (
            (PeerError('x'), StatusCode.UNREACHABLE),
            (WireError('x'), StatusCode.BAD_REPLY),
            (KernelError('x'), StatusCode.INTERNAL),
        ):
            self.assertIs(status_of(exc), status)
