"""Tests of the arguments of a role.

A role that starts with a mistyped argument would run with another log level
than its operator expects.
"""

import contextlib
import io
import unittest
from unittest.mock import Mock, patch

from dragonflyshift._internal.utils.early_binding import BoundSockets
from dragonflyshift.platform import running


class ArgumentsTest(unittest.TestCase):
    def test_log_level_of_the_command_line_precedes_the_settings(self) -> None:
        for arguments, expected in (
            (['sidecar'], 'info'),
            (['sidecar', '--log-level', 'debug'], 'debug'),
        ):
            with self.subTest(arguments=arguments):
                self.assertEqual(self._configured_level(arguments), expected)

    def test_unknown_arguments_are_errors(self) -> None:
        for arguments, reason in (
            ([], 'expected one role'),
            (['router'], "'router'"),
            (['sidecar', 'balancer'], "'sidecar balancer'"),
            (['sidecar', '--log-level'], 'expected one role'),
            (['sidecar', '--log-level', 'loud'], "'loud' is not a log level"),
            (['router', '--log-level', 'debug'], 'router'),
        ):
            with self.subTest(arguments=arguments):
                errors = io.StringIO()
                with contextlib.redirect_stderr(errors):
                    status = running.main(arguments, BoundSockets())
                self.assertEqual(status, running.USAGE_STATUS)
                self.assertIn(reason, errors.getvalue())

    def _configured_level(self, arguments: list[str]) -> str:
        with (
            patch.object(running, '_settings_path', return_value=''),
            patch.object(running, 'read_settings') as read_settings,
            patch.object(running, '_create_node'),
            patch.object(running, 'asyncio'),
            patch.object(running, '_serve', Mock()),
            patch.object(running, 'configure_logging') as configure,
        ):
            read_settings.return_value.log_level = 'info'
            running.main(arguments, BoundSockets())
        return str(configure.call_args.args[0])
