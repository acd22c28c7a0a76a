"""Runs the command of a program on the platform."""

import sys
import typing

import click

from persimmonpass import exceptions

EXIT_USAGE = 2


def run(command: click.Command, obj: typing.Any = None) -> None:
    """Run a command; a wrong setting ends it with one line.

    :param obj: what the command gets beside its settings
    """
    try:
        command.main(standalone_mode=False, obj=obj)
    except click.ClickException as error:
        print(f'error: {error.format_message()}', file=sys.stderr)
        sys.exit(EXIT_USAGE)
    except exceptions.SettingsError as error:
        print(f'error: {error}', file=sys.stderr)
        sys.exit(EXIT_USAGE)
