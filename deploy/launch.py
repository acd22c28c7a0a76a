"""Starts a program of the package from the source tree.

The platform starts programs at the root of the repository and sets no path
of modules of ours. Sockets are bound before the package is imported, which
takes most of a start: callers that come meanwhile wait a moment instead of
being turned away.
"""

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
    """Listen on an address.

    :param address: ``ip:port``
    :raises OSError: if it is taken or not this machine's
    """
    ip, _, port = address.rpartition(':')
    bound = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    bound.bind((ip, int(port)))
    bound.listen(BACKLOG)
    bound.setblocking(False)
    return bound


def main() -> None:
    """Run the program that the first argument names.

    The other arguments are addresses to listen on at once.
    """
    # Without these either signal would kill a program that still starts. The
    # settings are read later, so that a request to read them can be dropped. A
    # request to stop is kept: an exception would end up wherever the start is.
    stops: list[int] = []
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    signal.signal(signal.SIGTERM, lambda number, _: stops.append(number))
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
    program = importlib.import_module(PROGRAMS[name])
    program.main(bound, stops)


if __name__ == '__main__':
    main()
