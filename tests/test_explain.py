"""The command ``explain`` shows the log lines of a subject, in order."""

import json
import unittest

from click import testing
import parameterized

from persimmonpass.cli import operator

LINES = [
    {'message_type': 'PP503 request_finished', 'key': 'r1', 'host': 'b',
     'timestamp': 12.5, 'outcome': 'failed', 'cause': 'target i-2: lost'},
    {'message_type': 'PP515 request_sent', 'key': 'r1', 'host': 'a',
     'timestamp': 12.0, 'target': 'i-2'},
    {'message_type': 'PP515 request_sent', 'key': 'r2', 'host': 'a',
     'timestamp': 12.1, 'target': 'i-3'},
]  # fmt: skip
TEXT = 'noise\n' + ''.join(
    f' 3.2 edge-a-1 {json.dumps(line)}\n' for line in LINES
)


class TestExplain(unittest.TestCase):
    def run_tool(self, text, *args):
        return testing.CliRunner().invoke(
            operator.main, ['explain', *args], input=text
        )

    def test_events_of_a_request_in_order(self):
        shown = self.run_tool(TEXT, 'r1')
        self.assertEqual(0, shown.exit_code, shown.output)
        first, second = shown.output.splitlines()
        self.assertIn('request_sent', first)
        self.assertIn('0.500 s', second)
        self.assertIn('cause=target i-2: lost', second)

    def test_target(self):
        shown = self.run_tool(TEXT, 'i-3')
        self.assertEqual(1, len(shown.output.splitlines()))

    @parameterized.parameterized.expand(
        [
            ('unknown', TEXT, 'r9', 'no log line names r9'),
            ('no logs', 'x\n{"a": 1}\n', 'r1', 'no log lines'),
        ]
    )
    def test_bad_input(self, _, text, subject, message):
        shown = self.run_tool(text, subject)
        self.assertEqual(2, shown.exit_code)
        self.assertIn(message, shown.output)


if __name__ == '__main__':
    unittest.main()
