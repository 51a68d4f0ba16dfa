"""The format of log lines.

Guards against lines that a log collector can't parse, and against HTTP client
libraries that fill the log with a line for each request.
"""

import contextlib
import io
import json
import logging
import unittest

from dragonflyshift._internal.telemetry import configure_logging


class LogsTest(unittest.TestCase):
    def setUp(self):
        root = logging.getLogger()
        original = (root.level, list(root.handlers))
        self.addCleanup(root.setLevel, original[0])
        self.addCleanup(setattr, root, 'handlers', original[1])
        for name in ('httpx', 'httpcore'):
            logger = logging.getLogger(name)
            self.addCleanup(logger.setLevel, logger.level)

    def test_each_record_is_one_json_line(self):
        stderr = io.StringIO()
        with contextlib.redirect_stderr(stderr):
            configure_logging('info', 'sidecar', 'kl-a-1')
            logger = logging.getLogger('example')
            logger.info('flow-opened', extra={'port': 443})
            logger.debug('hidden')
            logging.getLogger('httpx').info('a line for each request')
            logging.getLogger('httpcore.connection').info('another')
        line = json.loads(stderr.getvalue())
        self.assertRegex(line.pop('time'), r'^\d{4}-\d\d-\d\dT[\d:]{8}\.\d+Z$')
        self.assertEqual(
            line,
            {
                'level': 'INFO',
                'logger': 'example',
                'message': 'flow-opened',
                'port': 443,
                'role': 'sidecar',
                'instance': 'kl-a-1',
            },
        )
