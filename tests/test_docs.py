"""Checks that the tests, benches and files named in the docs exist."""

import importlib
import re
import unittest

import parameterized

from tests import processes

DOCS = processes.ROOT / 'docs'
TEST = re.compile(r'`(tests\.\w+)\.(\w+)\.(test_\w+)`')
BENCH = re.compile(r'`(?:python -m )?(bench\.\w+)')
LINK = re.compile(r'\]\(([^)#:]+)\)')
PAGES = [(str(path.relative_to(DOCS)),) for path in DOCS.rglob('*.md')]


class TestDocs(unittest.TestCase):
    def test_tests_named_in_proof_exist(self):
        named = TEST.findall((DOCS / 'PROOF.md').read_text())
        self.assertGreater(len(named), 0)
        missing = [
            row
            for row in named
            if not any(
                name.startswith(row[2])
                for name in dir(
                    getattr(importlib.import_module(row[0]), row[1], None)
                )
            )
        ]
        self.assertEqual([], missing)

    @parameterized.parameterized.expand(PAGES)
    def test_links_and_benches_exist(self, page):
        path = DOCS / page
        text = path.read_text()
        links = [path.parent / link for link in LINK.findall(text)]
        benches = [
            processes.ROOT / f'{name.replace(".", "/")}.py'
            for name in BENCH.findall(text)
        ]
        missing = [
            str(target) for target in links + benches if not target.exists()
        ]
        self.assertEqual([], missing)
