"""Tests that a trace has a span for each hop and that spans are exported."""

import http.server
import json
import pathlib
import tempfile
import threading
import unittest

from persimmonpass import tracing
from tests import processes

TRACE_ID = '0af7651916cd43dd8448eb211c80319c'
CALLER_SPAN = 'b7ad6b7169203331'
KEYS = 4
ZONES = ('ruai', 'kasarani', 'embakasi')


def _read_spans(path):
    """Return the spans of the test's trace by id."""
    # The last line may be incomplete while it is written.
    complete = path.read_text().rpartition('\n')[0]
    spans = [json.loads(line) for line in complete.splitlines()]
    return {
        span['context']['span_id'].removeprefix('0x'): span
        for span in spans
        if span['context']['trace_id'] == f'0x{TRACE_ID}'
    }


def _find_orphans(spans):
    """Return the spans whose parent is neither in the trace nor the caller."""
    return [
        span
        for span in spans.values()
        if span['parent_id'].removeprefix('0x') not in {CALLER_SPAN, *spans}
    ]


class TestTracing(unittest.TestCase):
    def test_span_for_each_hop(self):
        directory = self.enterContext(tempfile.TemporaryDirectory())
        path = pathlib.Path(directory) / 'spans'
        fleet = processes.Fleet(ZONES, '--trace', f'file:{path}')
        self.addCleanup(fleet.close)
        fleet.start_engine('engine-0', 'ruai', 'pumpread@3')
        examples = processes.ROOT / 'examples' / 'athi'
        applied = fleet.run_tool('apply', '-f', str(examples))
        self.assertEqual(0, applied.returncode, applied.stderr)
        fleet.wait_ready()
        headers = {
            'Authorization': 'Bearer athi-desk-token',
            'traceparent': f'00-{TRACE_ID}-{CALLER_SPAN}-01',
        }

        def complete():
            answers = [
                processes.CLIENT.post(
                    f'{host.caller}/v1/completions',
                    json={'model': 'pumpread', 'prompt': 'x'},
                    headers={**headers, 'Idempotency-Key': f'{name}-{key}'},
                ).status_code
                for name, host in zip(ZONES, fleet.hosts, strict=True)
                for key in range(KEYS)
            ]
            return answers == [200] * len(answers)

        processes.wait_until(complete)
        # The span of an answer ends only after its caller has the answer.
        processes.wait_until(lambda: not _find_orphans(_read_spans(path)))
        spans = _read_spans(path)
        hops = {span['name'] for span in spans.values()}
        expected = {
            'entry.complete',
            'keys.begin',
            'peer.keys.begin',
            'keys.finish',
            'peer.keys.finish',
            'store.put',
            'target.complete',
        }
        self.assertLessEqual(expected, hops)
        self.assertEqual([], _find_orphans(spans))


class _Collector(http.server.BaseHTTPRequestHandler):
    """Records the requests of an OTLP exporter."""

    def do_POST(self):
        length = int(self.headers['content-length'])
        body = self.rfile.read(length)
        self.server.posts.append((self.path, body))
        self.send_response(200)
        self.end_headers()

    def log_message(self, *arguments):
        """Suppress the access log."""


class TestExport(unittest.TestCase):
    def test_spans_reach_a_collector(self):
        server = http.server.HTTPServer(('127.0.0.1', 0), _Collector)
        server.posts = []
        thread = threading.Thread(target=server.serve_forever)
        thread.start()
        self.addCleanup(thread.join)
        self.addCleanup(server.server_close)
        self.addCleanup(server.shutdown)
        url = f'http://127.0.0.1:{server.server_port}/v1/traces'
        tracer = tracing.Tracing('host-0', url)
        with tracer.span('entry.complete', {}):
            pass
        tracer.shut_down()
        [(path, body)] = server.posts
        self.assertEqual('/v1/traces', path)
        for text in (b'entry.complete', b'host-0'):
            self.assertIn(text, body)
