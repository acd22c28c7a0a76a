"""Starts a program of the package from the source tree.

The platform starts programs at the root of the repository and sets no path
of modules of ours.
"""

import importlib
import pathlib
import sys

PROGRAMS = {
    'host': 'persimmonpass.cli.gateway',
    'storage': 'persimmonpass.cli.storage',
}


def main() -> None:
    """Run the program that the first argument names."""
    root = pathlib.Path(__file__).resolve().parent.parent
    sys.path.insert(0, str(root / 'src'))
    name = PROGRAMS[sys.argv.pop(1)]
    importlib.import_module(name).main()


if __name__ == '__main__':
    main()
