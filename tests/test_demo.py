"""Golden files of the demo's two sessions."""

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
    """Replace what differs between runs: durations."""
    return DURATION.sub('<seconds> s', line)


class TestDemo(unittest.TestCase):
    """Plays each deployment and compares all that is printed."""

    @parameterized.parameterized.expand([('athi',), ('lankaroot',)])
    def test_session(self, name):
        logs.discard_library_logs()
        lines = []
        clean = anyio.run(demo.play, name, lines.append)
        session = ''.join(normalise(line) + '\n' for line in lines)
        golden = (GOLDEN / f'demo-{name}.txt').read_text()
        self.assertEqual(golden, session)
        self.assertTrue(clean)
