"""Runs the tests and closes with the line ``N passed, N failed``.

Modules run side by side, each in a process of its own. Tests listed in
KNOWN-RED.txt still run; their failures are printed but do not fail the run.
"""

import concurrent.futures
import json
import os
import pathlib
import subprocess
import sys
import typing
import unittest

ROOT = pathlib.Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / 'KNOWN-RED.txt'
MODULE_FLAG = '--module'
# Modules start processes of their own, but wait for most of their time; a
# third of the processors is left to these.
WORKERS = max(1, (os.cpu_count() or 2) * 2 // 3)
MODULE_TIMEOUT_SECONDS = 1200


class Outcome(typing.NamedTuple):
    """How the tests of a module ended.

    :ivar broken: ids of the tests that failed
    """

    run: int
    skipped: int
    broken: list[str]


def read_known_red(path: pathlib.Path = KNOWN_RED) -> dict[str, str]:
    """Read the tests that are known to fail.

    :param path: file with one entry a line, the test's id first
    :returns: the whole entry by test id
    """
    if not path.exists():
        return {}
    lines = [line.strip() for line in path.read_text().splitlines()]
    entries = [line for line in lines if line and not line.startswith('#')]
    return {entry.split()[0].rstrip(','): entry for entry in entries}


def run_module(name: str) -> Outcome:
    """Run the tests of a module in this process."""
    suite = unittest.TestLoader().loadTestsFromName(name)
    outcome = unittest.TextTestRunner(
        stream=sys.stderr, verbosity=1, buffer=True
    ).run(suite)
    broken = [test.id() for test, _ in outcome.failures + outcome.errors]
    broken += [test.id() for test in outcome.unexpectedSuccesses]
    return Outcome(outcome.testsRun, len(outcome.skipped), broken)


def run_apart(name: str) -> tuple[str, Outcome, str]:
    """Run the tests of a module in a process of their own.

    :returns: the name, the outcome and what the tests printed
    """
    try:
        done = subprocess.run(
            [sys.executable, '-m', 'tests.run', MODULE_FLAG, name],
            cwd=ROOT,
            capture_output=True,
            text=True,
            timeout=MODULE_TIMEOUT_SECONDS,
        )
    except subprocess.TimeoutExpired:
        return name, Outcome(1, 0, [f'{name} (took too long)']), ''
    try:
        last = done.stdout.splitlines()[-1]
        return name, Outcome(*json.loads(last)), done.stderr
    except (IndexError, ValueError, TypeError):
        outcome = Outcome(1, 0, [f'{name} (ended with {done.returncode})'])
        return name, outcome, done.stderr


def module_names() -> list[str]:
    """Return the modules with tests, the slow ones first."""
    paths = (ROOT / 'tests').glob('test_*.py')
    # Tests with processes wait most; they would be left over at the end.
    slow = (
        'process',
        'faults',
        'demo',
        'whole',
        'property',
        'gateway',
        'soak',
        'tool',
    )
    return sorted(
        (f'tests.{path.stem}' for path in paths),
        key=lambda name: (not any(word in name for word in slow), name),
    )


def main(names: list[str]) -> int:
    """Run the tests.

    :param names: modules to run; all where it is empty
    :returns: the exit status, 0 when nothing but known failures failed
    """
    if names and names[0] == MODULE_FLAG:
        print(json.dumps(run_module(names[1])))
        return 0
    known = read_known_red()
    failed: list[str] = []
    passed = 0
    with concurrent.futures.ThreadPoolExecutor(WORKERS) as workers:
        for name, outcome, text in workers.map(
            run_apart, names or module_names()
        ):
            good = outcome.run - len(set(outcome.broken)) - outcome.skipped
            print(f'{name}: {good} passed, {len(outcome.broken)} failed')
            passed += good
            if outcome.broken:
                print(text)
            for test_id in outcome.broken:
                if test_id in known:
                    print(f'known red: {known[test_id]}')
                else:
                    failed.append(test_id)
            sys.stdout.flush()
    print(f'{passed} passed, {len(failed)} failed')
    return 1 if failed or passed == 0 else 0


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
