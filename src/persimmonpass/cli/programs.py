"""Shared parts of the commands that run on the platform."""

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
    help='Settings file, written by the platform.',
)


class LaunchState(typing.NamedTuple):
    """State that the launcher set up before it imported the program.

    :ivar bound_sockets: listening sockets by address
    :ivar stop_signals: numbers of the stop signals received since the launch
    """

    bound_sockets: collections.abc.Mapping[str, socket.socket] = {}
    stop_signals: collections.abc.Sequence[int] = ()


def run(command: click.Command, launch_state: LaunchState) -> None:
    """Run a command; an invalid setting ends it with one line.

    :param launch_state: passed to the command as its context object
    """
    try:
        command.main(standalone_mode=False, obj=launch_state)
    except click.ClickException as error:
        print(f'error: {error.format_message()}', file=sys.stderr)
        sys.exit(EXIT_USAGE)
    except exceptions.SettingsError as error:
        print(f'error: {error}', file=sys.stderr)
        sys.exit(EXIT_USAGE)
