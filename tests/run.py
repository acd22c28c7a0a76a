"""Runs the tests and ends with the line ``N passed, N failed``.

Modules run in parallel, each in its own process, but for those that measure
what a process uses: they run at the end, one after the other. Tests listed in
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
# Many modules start processes themselves and spend most of their time waiting
# for them. A third of the processors is left to those processes.
WORKERS = max(1, (os.cpu_count() or 2) * 2 // 3)
MODULE_TIMEOUT_SECONDS = 1200
ALONE = frozenset(('tests.test_hostile_callers',))


class Outcome(typing.NamedTuple):
    """Results of the tests of a module.

    :ivar run: number of tests that ran
    :ivar skipped: number of tests that were skipped
    :ivar failed_ids: ids of the tests that failed
    """

    run: int
    skipped: int
    failed_ids: list[str]


def read_known_red(path: pathlib.Path = KNOWN_RED) -> dict[str, str]:
    """Read the list of tests that are known to fail.

    :param path: file with one entry per line, which begins with the test id
    :returns: each entry by its test id; empty if there is no file
    """
    if not path.exists():
        return {}
    lines = [line.strip() for line in path.read_text().splitlines()]
    entries = [line for line in lines if line and not line.startswith('#')]
    return {entry.split()[0].rstrip(','): entry for entry in entries}


class _Result(unittest.TextTestResult):
    """Shows the error that a test raised inside of task groups.

    A trace of more than ten nested groups is cut before the error itself.
    """

    def addError(self, test, err):  # noqa: N802
        """Record an error without the groups around it."""
        error = err[1]
        while (
            isinstance(error, BaseExceptionGroup)
            and len(error.exceptions) == 1
        ):
            error = error.exceptions[0]
        super().addError(test, (type(error), error, error.__traceback__))


def run_module(name: str) -> Outcome:
    """Run the tests of a module in this process."""
    suite = unittest.TestLoader().loadTestsFromName(name)
    outcome = unittest.TextTestRunner(
        stream=sys.stderr, verbosity=1, buffer=True, resultclass=_Result
    ).run(suite)
    failed_ids = [test.id() for test, _ in outcome.failures + outcome.errors]
    failed_ids += [test.id() for test in outcome.unexpectedSuccesses]
    return Outcome(outcome.testsRun, len(outcome.skipped), failed_ids)


def run_module_in_subprocess(name: str) -> tuple[str, Outcome, str]:
    """Run the tests of a module in a subprocess.

    :returns: the module name, the outcome and what the tests printed to
        standard error
    """
    try:
        completed = subprocess.run(
            [sys.executable, '-m', 'tests.run', MODULE_FLAG, name],
            cwd=ROOT,
            # The order of sets, on which the order of tasks depends.
            env={'PYTHONHASHSEED': '0', **os.environ},
            capture_output=True,
            text=True,
            timeout=MODULE_TIMEOUT_SECONDS,
        )
    except subprocess.TimeoutExpired:
        return name, Outcome(1, 0, [f'{name} (timed out)']), ''
    try:
        last = completed.stdout.splitlines()[-1]
        return name, Outcome(*json.loads(last)), completed.stderr
    except (IndexError, ValueError, TypeError):
        outcome = Outcome(
            1, 0, [f'{name} (exited with {completed.returncode})']
        )
        return name, outcome, completed.stderr


def module_names() -> list[str]:
    """Return the names of all test modules, slow ones first."""
    paths = (ROOT / 'tests').glob('test_*.py')
    # Modules that start processes take longest. If they started last, only
    # they would still run at the end.
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


def _run_modules(
    workers: concurrent.futures.Executor, names: list[str]
) -> typing.Iterator[tuple[str, Outcome, str]]:
    """Run modules in parallel, and then those that run alone."""
    yield from workers.map(
        run_module_in_subprocess,
        [name for name in names if name not in ALONE],
    )
    yield from map(
        run_module_in_subprocess, [name for name in names if name in ALONE]
    )


def main(names: list[str]) -> int:
    """Run the tests.

    :param names: modules to run; all if empty
    :returns: the exit status; 0 if at least one test passed and only known
        failures failed
    """
    if names and names[0] == MODULE_FLAG:
        print(json.dumps(run_module(names[1])))
        return 0
    known_failures = read_known_red()
    failed: list[str] = []
    passed = 0
    with concurrent.futures.ThreadPoolExecutor(WORKERS) as workers:
        for name, outcome, text in _run_modules(
            workers, names or module_names()
        ):
            passing = (
                outcome.run - len(set(outcome.failed_ids)) - outcome.skipped
            )
            print(
                f'{name}: {passing} passed, {len(outcome.failed_ids)} failed'
            )
            passed += passing
            if outcome.failed_ids:
                print(text)
            for test_id in outcome.failed_ids:
                if test_id in known_failures:
                    print(f'known red: {known_failures[test_id]}')
                else:
                    failed.append(test_id)
            sys.stdout.flush()
    print(f'{passed} passed, {len(failed)} failed')
    return 1 if failed or passed == 0 else 0


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
