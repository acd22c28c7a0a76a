"""Runs a daemon with a different policy for batch work on targets.

The variants are baselines for ``bench.preemption``.

Usage: ``python -m bench.variants VARIANT [flags of persimmonpassd]``.
"""

import sys

from persimmonpass.cli import daemon
from persimmonpass.policy import preemption

FIXED_WIDTH = 8


def _always_full(
    limits, online, quiet_seconds, harm_percent, is_fully_connected
):
    return preemption.MAX_WIDTH


def _fixed_share(
    limits, online, quiet_seconds, harm_percent, is_fully_connected
):
    return FIXED_WIDTH


VARIANTS = {
    'preemption': preemption.allowed_width,
    'no_preemption': _always_full,
    'fixed_share': _fixed_share,
}


def main() -> None:
    """Replace the policy function and run the daemon."""
    preemption.allowed_width = VARIANTS[sys.argv.pop(1)]
    daemon.main()


if __name__ == '__main__':
    main()
