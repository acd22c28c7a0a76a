"""Calls of a daemon and tables of what it answers."""

import difflib
import json
import ssl
import sys
import typing

import click
import httpx

EXIT_USAGE = 2
EXIT_REFUSED = 1
TIMEOUT_SECONDS = 30.0


class SuggestingGroup(click.Group):
    """Group that names a similar command in place of an unknown one."""

    def resolve_command(
        self, ctx: click.Context, args: list[str]
    ) -> tuple[str | None, click.Command | None, list[str]]:
        """Find the command of some arguments."""
        try:
            return super().resolve_command(ctx, args)
        except click.UsageError as error:
            similar = difflib.get_close_matches(args[0], self.commands, 1)
            if similar:
                error.message += f' Did you mean {similar[0]!r}?'
            raise


class Connection(typing.NamedTuple):
    """Where the commands go and as whom.

    :ivar operator_url: ``http://ip:port`` of a daemon's operator port
    :ivar caller_url: ``http://ip:port`` of a daemon's caller port
    :ivar tls_ca: PEM file of authorities; empty for those of the system
    """

    operator_url: str
    caller_url: str
    token: str
    output: str
    tls_ca: str = ''


def fail(message: str, status: int) -> typing.NoReturn:
    """End with one line on standard error."""
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
    """Call a daemon; a refusal ends the program with one line.

    :param caller: use the caller port
    """
    base = connection.caller_url if caller else connection.operator_url
    if not base:
        flag = '--caller-url' if caller else '--operator-url'
        fail(f'{flag}: needed for this command', EXIT_USAGE)
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
            timeout=TIMEOUT_SECONDS,
            trust_env=False,
            verify=verify,
            **options,
        )
    except ssl.SSLError as error:
        fail(f'--tls-ca: {error}', EXIT_USAGE)
    except httpx.HTTPError as error:
        fail(f'{base}: {type(error).__name__}: {error}', EXIT_REFUSED)
    if answer.is_error:
        _refuse(answer)
    return answer


def _refuse(answer: httpx.Response) -> typing.NoReturn:
    try:
        body = answer.json()
        message = body['message']
    except (ValueError, KeyError):
        fail(f'status {answer.status_code}', EXIT_REFUSED)
    if body.get('present'):
        message += f'; now it is {json.dumps(body["present"])}'
    usage = answer.status_code in (400, 422)
    fail(message, EXIT_USAGE if usage else EXIT_REFUSED)


def show(connection: Connection, rows: list[dict[str, typing.Any]]) -> None:
    """Print rows as JSON or as a table."""
    if connection.output == 'json':
        click.echo(json.dumps(rows, indent=2))
        return
    if not rows:
        click.echo('none')
        return
    columns = list(rows[0])
    lines = [columns] + [
        [_cell(row[name]) for name in columns] for row in rows
    ]
    widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
    for line in lines:
        cells = zip(line, widths, strict=True)
        padded = [cell.ljust(width) for cell, width in cells]
        click.echo('  '.join(padded).rstrip())


def _cell(value: typing.Any) -> str:
    if isinstance(value, dict):
        return ','.join(f'{key}={text}' for key, text in value.items())
    if isinstance(value, list):
        return ','.join(map(str, value))
    return '' if value is None else str(value)
