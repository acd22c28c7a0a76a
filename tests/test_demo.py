"""Tests that the demo prints the lines in its golden files."""

import pathlib
import re
import unittest

import anyio
import parameterized

from persimmonpass.cli import demo
from persimmonpass import logs

GOLDEN = pathlib.Path(__file__).parent / 'golden'
DURATION = re.compile(r'\d+\.\d s')


def normalise(line):
    """Replace durations, which differ between runs."""
    return DURATION.sub('<seconds> s', line)


class TestDemo(unittest.TestCase):
    """Run each deployment and compare all printed lines."""

    @parameterized.parameterized.expand([('athi',), ('lankaroot',)])
    def test_session(self, name):
        logs.discard_library_logs()
        lines = []
        is_clean = anyio.run(demo.run_deployment, name, lines.append)
        session = ''.join(normalise(line) + '\n' for line in lines)
        golden = (GOLDEN / f'demo-{name}.txt').read_text()
        self.assertEqual(golden, session)
        self.assertTrue(is_clean)
