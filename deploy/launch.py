"""Starts a program of the package from the source tree.

The platform runs programs from the root of the repository and does not set
the module search path. Sockets are bound before the package is imported,
because the import takes most of the start time: connections that arrive
meanwhile wait in the backlog instead of being refused.
"""

import gc
import importlib
import pathlib
import signal
import socket
import sys

PROGRAMS = {
    'host': 'persimmonpass.cli.gateway',
    'storage': 'persimmonpass.cli.storage',
}
BACKLOG = 1024


def bind(address: str) -> socket.socket:
    """Return a non-blocking socket that listens on an address.

    :param address: ``ip:port``
    :raises OSError: if the address is in use or not local
    """
    ip, _, port = address.rpartition(':')
    bound = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    bound.bind((ip, int(port)))
    bound.listen(BACKLOG)
    bound.setblocking(False)
    return bound


def main() -> None:
    """Run the program that is named by the first argument.

    The other arguments are addresses to listen on before the import. If one
    of them can't be bound, the process exits with status 2.
    """
    # Without handlers, either signal would kill the program during its start.
    # SIGHUP, which reloads the settings, can be ignored because the settings
    # are read later. SIGTERM is recorded for the program to handle: an
    # exception raised here would surface at an arbitrary point of the start.
    stop_signals: list[int] = []
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    signal.signal(
        signal.SIGTERM, lambda number, _: stop_signals.append(number)
    )
    root = pathlib.Path(__file__).resolve().parent.parent
    name, *addresses = sys.argv[1:]
    del sys.argv[1:]
    bound: dict[str, socket.socket] = {}
    for address in addresses:
        try:
            bound[address] = bind(address)
        except OSError as error:
            print(f'error: cannot listen: {error}', file=sys.stderr)
            sys.exit(2)
    sys.path.insert(0, str(root / 'src'))
    # Nothing that an import makes is garbage. Collections during the imports,
    # and later ones that scan what they made, would only cost processor time.
    gc.disable()
    program = importlib.import_module(PROGRAMS[name])
    gc.freeze()
    gc.enable()
    program.main(bound, stop_signals)


if __name__ == '__main__':
    main()
