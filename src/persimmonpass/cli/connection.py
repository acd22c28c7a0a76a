"""Sends requests to a daemon and prints its answers."""

import difflib
import json
import ssl
import sys
import typing

import click
import httpx

EXIT_USAGE = 2
EXIT_FAILED = 1
REQUEST_TIMEOUT_SECONDS = 30.0


class SuggestingGroup(click.Group):
    """Command group that suggests a similar name for an unknown command."""

    def resolve_command(
        self, ctx: click.Context, args: list[str]
    ) -> tuple[str | None, click.Command | None, list[str]]:
        """Return the command that the arguments name.

        :raises UsageError: if there is none; the message suggests a similar
            one
        """
        try:
            return super().resolve_command(ctx, args)
        except click.UsageError as error:
            similar = difflib.get_close_matches(args[0], self.commands, 1)
            if similar:
                error.message += f' Did you mean {similar[0]!r}?'
            raise


class Connection(typing.NamedTuple):
    """Addresses of a daemon, the token and the output format.

    :ivar operator_url: ``http://ip:port`` of a daemon's operator port
    :ivar caller_url: ``http://ip:port`` of a daemon's caller port
    :ivar token: bearer token of a person or an account
    :ivar output: ``table`` or ``json``
    :ivar tls_ca: PEM file with CA certificates; empty for those of the system
    """

    operator_url: str
    caller_url: str
    token: str
    output: str
    tls_ca: str = ''


def exit_with_error(message: str, status: int) -> typing.NoReturn:
    """Print one line on standard error and exit.

    :param status: exit status
    """
    print(f'error: {message}', file=sys.stderr)
    sys.exit(status)


def call(
    connection: Connection,
    method: str,
    path: str,
    *,
    caller: bool = False,
    **options: typing.Any,
) -> httpx.Response:
    """Send a request to a daemon.

    If it fails, the program ends with one line on standard error.

    :param caller: use the caller port and not the operator port
    :param options: further arguments of :func:`httpx.request`
    """
    base = connection.caller_url if caller else connection.operator_url
    if not base:
        flag = '--caller-url' if caller else '--operator-url'
        exit_with_error(f'{flag}: required for this command', EXIT_USAGE)
    headers = {
        'Authorization': f'Bearer {connection.token}',
        **options.pop('headers', {}),
    }
    try:
        verify: ssl.SSLContext | bool = True
        if connection.tls_ca:
            verify = ssl.create_default_context(cafile=connection.tls_ca)
        answer = httpx.request(
            method,
            base + path,
            headers=headers,
            timeout=REQUEST_TIMEOUT_SECONDS,
            trust_env=False,
            verify=verify,
            **options,
        )
    except ssl.SSLError as error:
        exit_with_error(f'--tls-ca: {error}', EXIT_USAGE)
    except httpx.HTTPError as error:
        exit_with_error(
            f'{base}: {type(error).__name__}: {error}', EXIT_FAILED
        )
    if answer.is_error:
        _exit_with_answer(answer)
    return answer


def _exit_with_answer(answer: httpx.Response) -> typing.NoReturn:
    try:
        body = answer.json()
        message = body['message']
    except (ValueError, KeyError):
        exit_with_error(
            f'request failed with HTTP status {answer.status_code}',
            EXIT_FAILED,
        )
    if body.get('present'):
        message += f'; the current object is {json.dumps(body["present"])}'
    is_usage_error = answer.status_code in (400, 422)
    exit_with_error(message, EXIT_USAGE if is_usage_error else EXIT_FAILED)


def print_rows(
    connection: Connection, rows: list[dict[str, typing.Any]]
) -> None:
    """Print rows as JSON or as a table."""
    if connection.output == 'json':
        click.echo(json.dumps(rows, indent=2))
        return
    if not rows:
        click.echo('none')
        return
    columns = list(rows[0])
    lines = [columns] + [
        [_format_cell(row[name]) for name in columns] for row in rows
    ]
    widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
    for line in lines:
        cells = zip(line, widths, strict=True)
        padded = [cell.ljust(width) for cell, width in cells]
        click.echo('  '.join(padded).rstrip())


def _format_cell(value: typing.Any) -> str:
    if isinstance(value, dict):
        return ','.join(f'{key}={text}' for key, text in value.items())
    if isinstance(value, list):
        return ','.join(map(str, value))
    return '' if value is None else str(value)
