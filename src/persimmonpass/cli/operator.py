"""Command line of ``persimmonpass``."""

import json
import pathlib
import sys
import typing

import anyio
import click
import httpx
import yaml

from persimmonpass.cli import demo
from persimmonpass import logs
from persimmonpass import objects
from persimmonpass import settings

EXIT_USAGE = 2
EXIT_REFUSED = 1
TIMEOUT_SECONDS = 30.0


class Connection(typing.NamedTuple):
    """Where the commands go and as whom.

    :ivar operator_url: ``http://ip:port`` of a daemon's operator port
    :ivar caller_url: ``http://ip:port`` of a daemon's caller port
    """

    operator_url: str
    caller_url: str
    token: str
    output: str


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
        answer = httpx.request(
            method,
            base + path,
            headers=headers,
            timeout=TIMEOUT_SECONDS,
            trust_env=False,
            **options,
        )
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


@click.group(
    context_settings={'auto_envvar_prefix': settings.PREFIX},
    help='Operate a fleet, run requests and batch jobs.',
)
@click.option('--operator-url', type=settings.UrlType(), default=None)
@click.option('--caller-url', type=settings.UrlType(), default=None)
@click.option('--token', default='', help='Token of a person or account.')
@click.option(
    '--output', type=click.Choice(['table', 'json']), default='table'
)
@click.pass_context
def main(
    context: click.Context,
    operator_url: str | None,
    caller_url: str | None,
    token: str,
    output: str,
) -> None:
    """Group of the commands."""
    context.obj = Connection(
        operator_url or '', caller_url or '', token, output
    )


@main.command()
@click.option(
    '-f', 'path', required=True, type=click.Path(exists=True), help='YAML.'
)
@click.pass_obj
def apply(connection: Connection, path: str) -> None:
    """Create or change the objects of a file or folder."""
    documents = _read_documents(pathlib.Path(path))
    for source, document in documents:
        parsed = objects.parse(document)
        if parsed.is_err():
            failure = parsed.unwrap_err()
            fail(f'{source}: {failure.message}', EXIT_USAGE)
    for _, document in documents:
        answer = call(connection, 'PUT', '/v1/objects', json=document)
        body = answer.json()
        click.echo(f'{body["kind"]} {body["name"]}: version {body["version"]}')


def _read_documents(path: pathlib.Path) -> list[tuple[str, typing.Any]]:
    files = sorted(path.glob('*.yaml')) if path.is_dir() else [path]
    documents = []
    for file in files:
        try:
            loaded = list(yaml.safe_load_all(file.read_text()))
        except yaml.YAMLError as error:
            line = ' '.join(str(error).split())
            fail(f'{file.name}: broken YAML: {line}', EXIT_USAGE)
        for index, document in enumerate(loaded, 1):
            if document is not None:
                documents.append((f'{file.name}, object {index}', document))
    if not documents:
        fail(f'{path}: no objects there', EXIT_USAGE)
    return documents


@main.command()
@click.argument('kind', required=False)
@click.argument('name', required=False)
@click.pass_obj
def get(connection: Connection, kind: str | None, name: str | None) -> None:
    """Show configuration objects."""
    if kind and name:
        path = f'/v1/objects/{kind}/{name}'
        rows = [call(connection, 'GET', path).json()]
    else:
        query = {'kind': kind} if kind else {}
        answer = call(connection, 'GET', '/v1/objects', params=query)
        rows = answer.json()['objects']
    for row in rows:
        row.pop('deleted', None)
    show(connection, rows)


@main.command()
@click.argument('kind')
@click.argument('name')
@click.argument('labels', nargs=-1, required=True)
@click.pass_obj
def label(
    connection: Connection, kind: str, name: str, labels: tuple[str, ...]
) -> None:
    """Set labels (key=value) or remove them (key-)."""
    patch: dict[str, str | None] = {}
    for text in labels:
        key, separator, value = text.partition('=')
        if separator:
            patch[key] = value
        elif text.endswith('-'):
            patch[text.removesuffix('-')] = None
        else:
            fail(f'labels: {text!r} is not key=value or key-', EXIT_USAGE)
    path = f'/v1/objects/{kind}/{name}'
    answer = call(connection, 'PATCH', path, json={'labels': patch})
    show(connection, [answer.json()])


@main.command()
@click.argument('kind')
@click.argument('name')
@click.pass_obj
def delete(connection: Connection, kind: str, name: str) -> None:
    """Delete a configuration object."""
    call(connection, 'DELETE', f'/v1/objects/{kind}/{name}')
    click.echo(f'{kind} {name}: deleted')


@main.command()
@click.pass_obj
def status(connection: Connection) -> None:
    """Show hosts and targets."""
    body = call(connection, 'GET', '/v1/status').json()
    if connection.output == 'json':
        click.echo(json.dumps(body, indent=2))
        return
    click.echo(f'configuration version {body["config_version"]}\n')
    columns = ('host', 'availability_zone', 'state', 'caller_address', 'load')
    show(connection, _pick(body['members'], columns))
    click.echo()
    columns = ('name', 'kind', 'availability_zone', 'leaving', 'running')
    show(connection, _pick(body['targets'], columns))


def _pick(
    rows: list[dict[str, typing.Any]], columns: tuple[str, ...]
) -> list[dict[str, typing.Any]]:
    return [{name: row[name] for name in columns} for row in rows]


@main.command()
@click.pass_obj
def drain(connection: Connection) -> None:
    """Make the host behind --operator-url leave."""
    body = call(connection, 'POST', '/v1/drain').json()
    click.echo(f'host {body["host"]} is leaving')


@main.command()
@click.option('--availability-zone', default='')
@click.pass_obj
def entry(connection: Connection, availability_zone: str) -> None:
    """Show the addresses that callers should use."""
    answer = call(
        connection,
        'GET',
        '/v1/entry',
        caller=True,
        params={'availability_zone': availability_zone},
    )
    body = answer.json()
    rows = [{'address': address} for address in body['addresses']]
    show(connection, rows)


@main.command()
@click.argument('model')
@click.argument('prompt')
@click.option('--max-tokens', type=click.IntRange(min=1), default=64)
@click.option('--key', default='', help='Idempotency key.')
@click.pass_obj
def run(
    connection: Connection,
    model: str,
    prompt: str,
    max_tokens: int,
    key: str,
) -> None:
    """Run one completion and print its text."""
    body = {'model': model, 'prompt': prompt, 'max_tokens': max_tokens}
    headers = {'Idempotency-Key': key} if key else {}
    answer = call(
        connection,
        'POST',
        '/v1/completions',
        caller=True,
        json=body,
        headers=headers,
    )
    click.echo(answer.json()['choices'][0]['text'])


@main.command('demo')
@click.option(
    '--deployment',
    type=click.Choice(sorted(demo.DEPLOYMENTS)),
    default='athi',
)
@click.option('--log-file', type=click.Path(dir_okay=False), default='')
def run_demo(deployment: str, log_file: str) -> None:
    """Play a deployment in one process, with faults."""
    if log_file:
        logs.open_log(log_file)
    else:
        logs.discard()
    clean = anyio.run(demo.play, deployment, click.echo)
    sys.exit(0 if clean else EXIT_REFUSED)


@main.group()
def job() -> None:
    """Submit and watch batch jobs."""


@job.command('submit')
@click.argument('name')
@click.option('--service', required=True)
@click.option('--due', type=settings.DurationType(), default='24h')
@click.option('-f', 'path', type=click.File('rb'), required=True)
@click.pass_obj
def submit_job(
    connection: Connection,
    name: str,
    service: str,
    due: float,
    path: typing.BinaryIO,
) -> None:
    """Submit the items of an NDJSON file as a job."""
    answer = call(
        connection,
        'PUT',
        f'/v1/jobs/{name}',
        caller=True,
        params={'service': service, 'due_seconds': due},
        content=path,
    )
    show(connection, [answer.json()])


@job.command('status')
@click.argument('name')
@click.pass_obj
def show_job(connection: Connection, name: str) -> None:
    """Show the progress of a job."""
    answer = call(connection, 'GET', f'/v1/jobs/{name}', caller=True)
    show(connection, [answer.json()])


@job.command('cancel')
@click.argument('name')
@click.pass_obj
def cancel_job(connection: Connection, name: str) -> None:
    """Cancel a job."""
    path = f'/v1/jobs/{name}/cancel'
    show(connection, [call(connection, 'POST', path, caller=True).json()])


@job.command('results')
@click.argument('name')
@click.pass_obj
def read_job(connection: Connection, name: str) -> None:
    """Print the results of a job as NDJSON."""
    path = f'/v1/jobs/{name}/results'
    click.echo(call(connection, 'GET', path, caller=True).text, nl=False)
