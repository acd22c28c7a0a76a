"""Runs the command of a program on the platform."""

import collections.abc
import socket
import sys
import typing

import click

from persimmonpass import exceptions
from persimmonpass.platform import settings

EXIT_USAGE = 2

settings_option = click.option(
    '--settings',
    'path',
    envvar=settings.PATH_VARIABLE,
    required=True,
    help='Settings file that the platform wrote.',
)


class Start(typing.NamedTuple):
    """What a launcher did before the program was imported.

    :ivar bound: sockets that listen already, by address
    :ivar stops: signals to stop that have come since
    """

    bound: collections.abc.Mapping[str, socket.socket] = {}
    stops: collections.abc.Sequence[int] = ()


def run(command: click.Command, start: Start) -> None:
    """Run a command; a wrong setting ends it with one line."""
    try:
        command.main(standalone_mode=False, obj=start)
    except click.ClickException as error:
        print(f'error: {error.format_message()}', file=sys.stderr)
        sys.exit(EXIT_USAGE)
    except exceptions.SettingsError as error:
        print(f'error: {error}', file=sys.stderr)
        sys.exit(EXIT_USAGE)
