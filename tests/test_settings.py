"""Tests that an invalid setting ends the daemon with one line on stderr.

The daemon must end before it listens.
"""

import os
import subprocess
import unittest

import parameterized

from persimmonpass import settings
from tests import processes

VALID = {
    'PERSIMMONPASS_HOST': 'host-0',
    'PERSIMMONPASS_AVAILABILITY_ZONE': 'ruai',
    'PERSIMMONPASS_STORE_URL': 'http://127.0.0.1:9',
}

ROWS = [
    ('host', {'PERSIMMONPASS_HOST': 'Host 0'}, "'--host'"),
    ('zone', {'PERSIMMONPASS_AVAILABILITY_ZONE': ''}, 'availability-zone'),
    ('address', {'PERSIMMONPASS_LISTEN': 'localhost:80'}, "'--listen'"),
    ('port', {'PERSIMMONPASS_PEER_LISTEN': '127.0.0.1:99999'}, 'peer-listen'),
    ('taken', {'PERSIMMONPASS_LISTEN': '192.0.2.1:0'}, 'cannot listen'),
    ('url', {'PERSIMMONPASS_STORE_URL': 'store:80'}, "'--store-url'"),
    ('duration', {'PERSIMMONPASS_ENTRY_TTL': '5'}, "'--entry-ttl'"),
    ('rate', {'PERSIMMONPASS_STORE_RATE': '0'}, "'--store-rate'"),
    ('digest', {'PERSIMMONPASS_ADMIN_TOKEN_SHA256': 'abc'}, 'admin-token'),
    ('trace', {'PERSIMMONPASS_TRACE': 'udp://x'}, "'--trace'"),
    ('unknown', {'PERSIMMONPASS_LISTENN': 'x'}, 'PERSIMMONPASS_LISTENN'),
]


class TestSettings(unittest.TestCase):
    @parameterized.parameterized.expand(ROWS)
    def test_wrong_setting_ends_the_daemon(self, name, changes, expected_text):
        environment = {**os.environ, **VALID, **changes}
        run = subprocess.run(
            [str(processes.BIN / 'persimmonpassd')],
            env=environment,
            capture_output=True,
            text=True,
            timeout=processes.START_SECONDS,
        )
        self.assertEqual(2, run.returncode, run.stderr)
        lines = run.stderr.splitlines()
        self.assertEqual(1, len(lines), run.stderr)
        self.assertIn(expected_text, lines[0])
        self.assertNotIn('daemon_started', run.stderr)

    @parameterized.parameterized.expand(
        [('250ms', 0.25), ('5s', 5.0), ('2m', 120.0), ('1.5h', 5400.0)]
    )
    def test_duration(self, text, seconds):
        converted = settings.DURATION.convert(text, None, None)
        self.assertEqual(seconds, converted)
