"""Command line of ``persimmonpass``, the tool for operators and callers."""

import json
import pathlib
import sys
import time
import typing
import urllib.parse

import anyio
import click
import yaml

from persimmonpass.cli import connection as connections
from persimmonpass.cli import demo
from persimmonpass.cli import deployments
from persimmonpass.cli import explain
from persimmonpass.cli import jobs
from persimmonpass import logs
from persimmonpass import objects
from persimmonpass import settings

WAIT_POLL_INTERVAL_SECONDS = 0.2
COMPLETION_HELP = """Shell completion: add the line
eval "$(_PERSIMMONPASS_COMPLETE=bash_source persimmonpass)" to ~/.bashrc. For
zsh and fish, use zsh_source and fish_source."""


@click.group(
    cls=connections.SuggestingGroup,
    context_settings={'auto_envvar_prefix': settings.PREFIX},
    help='Operate a fleet, run requests and batch jobs.',
    epilog=COMPLETION_HELP,
)
@click.option('--operator-url', type=settings.URL, default=None)
@click.option('--caller-url', type=settings.URL, default=None)
@click.option('--token', default='', help='Token of a person or account.')
@click.option(
    '--output', type=click.Choice(['table', 'json']), default='table'
)
@click.option(
    '--tls-ca',
    type=click.Path(exists=True, dir_okay=False),
    default=None,
    help='PEM file with the CA certificates that verify the hosts.',
)
@click.pass_context
def main(
    context: click.Context,
    operator_url: str | None,
    caller_url: str | None,
    token: str,
    output: str,
    tls_ca: str | None,
) -> None:
    """Store the connection options for the commands."""
    context.obj = connections.Connection(
        operator_url or '', caller_url or '', token, output, tls_ca or ''
    )


@main.command()
@click.option(
    '-f', 'path', required=True, type=click.Path(exists=True), help='YAML.'
)
@click.option(
    '--wait',
    type=settings.DURATION,
    default=None,
    help='Longest time to wait until the versions are in force on all live '
    'hosts.',
)
@click.pass_obj
def apply(
    connection: connections.Connection, path: str, wait: float | None
) -> None:
    """Create or change the objects of a file or folder.

    All objects are checked, here and by the daemon, before any is changed.
    """
    documents = _read_documents(pathlib.Path(path))
    seen: dict[objects.Key, str] = {}
    for source, document in documents:
        key = _check_document(source, document)
        if key in seen:
            connections.exit_with_error(
                f'{source}: {key.kind} {key.name!r} is already defined in '
                f'{seen[key]}',
                connections.EXIT_USAGE,
            )
        seen[key] = source
    checked = {'objects': [document for _, document in documents]}
    connections.call(connection, 'POST', '/v1/objects/check', json=checked)
    changed = []
    for _, document in documents:
        answer = connections.call(
            connection, 'PUT', '/v1/objects', json=document
        )
        body = answer.json()
        changed.append(body)
        click.echo(f'{body["kind"]} {body["name"]}: version {body["version"]}')
    if wait is not None:
        _wait_in_force(connection, changed, wait)


def _check_document(source: str, document: typing.Any) -> objects.Key:
    """Check a document and return its key.

    :param source: file and position of the document, for the error message
    """
    parsed = objects.parse(document)
    if parsed.is_err():
        message = parsed.unwrap_err().message
        connections.exit_with_error(
            f'{source}: {message}', connections.EXIT_USAGE
        )
    return parsed.unwrap().key


def _wait_in_force(
    connection: connections.Connection,
    changed: list[dict[str, typing.Any]],
    seconds: float,
) -> None:
    """Wait until the changed objects are in force on all live hosts.

    If that takes longer than ``seconds``, the program ends with an error.
    """
    deadline = time.monotonic() + seconds
    for body in changed:
        path = f'/v1/config/spread/{body["kind"]}/{body["name"]}'
        while True:
            answer = connections.call(
                connection, 'GET', path, params={'version': body['version']}
            )
            hosts_waiting = answer.json()['waiting']
            if not hosts_waiting:
                break
            if time.monotonic() > deadline:
                hosts = ', '.join(sorted(hosts_waiting))
                connections.exit_with_error(
                    f'{body["kind"]} {body["name"]}: version '
                    f'{body["version"]} is not in force on {hosts}',
                    connections.EXIT_FAILED,
                )
            time.sleep(WAIT_POLL_INTERVAL_SECONDS)
    click.echo('in force on all live hosts')


def _read_documents(path: pathlib.Path) -> list[tuple[str, typing.Any]]:
    files = sorted(path.glob('*.yaml')) if path.is_dir() else [path]
    documents = []
    for file in files:
        try:
            loaded = list(yaml.safe_load_all(file.read_text('utf-8')))
        except (yaml.YAMLError, UnicodeDecodeError) as error:
            line = ' '.join(str(error).split())
            connections.exit_with_error(
                f'{file.name}: broken YAML: {line}', connections.EXIT_USAGE
            )
        for index, document in enumerate(loaded, 1):
            if document is not None:
                documents.append((f'{file.name}, object {index}', document))
    if not documents:
        connections.exit_with_error(
            f'{path}: expected YAML documents, found no objects',
            connections.EXIT_USAGE,
        )
    return documents


def _check_kind(kind: str | None) -> None:
    if kind is not None and kind not in objects.KINDS:
        message = objects.unknown_kind(kind).message
        connections.exit_with_error(message, connections.EXIT_USAGE)


@main.command()
@click.argument('kind', required=False)
@click.argument('name', required=False)
@click.pass_obj
def get(
    connection: connections.Connection, kind: str | None, name: str | None
) -> None:
    """Show all configuration objects, those of a KIND, or a single one."""
    _check_kind(kind)
    if kind and name:
        path = f'/v1/objects/{kind}/{name}'
        rows = [connections.call(connection, 'GET', path).json()]
    else:
        query = {'kind': kind} if kind else {}
        answer = connections.call(
            connection, 'GET', '/v1/objects', params=query
        )
        rows = answer.json()['objects']
    for row in rows:
        row.pop('deleted', None)
    connections.print_rows(connection, rows)


@main.command()
@click.argument('kind')
@click.argument('name')
@click.argument('labels', nargs=-1, required=True)
@click.pass_obj
def label(
    connection: connections.Connection,
    kind: str,
    name: str,
    labels: tuple[str, ...],
) -> None:
    """Set labels (key=value) or remove them (key-)."""
    _check_kind(kind)
    patch: dict[str, str | None] = {}
    for text in labels:
        key, separator, value = text.partition('=')
        if separator:
            patch[key] = value
        elif text.endswith('-'):
            patch[text.removesuffix('-')] = None
        else:
            connections.exit_with_error(
                f'labels: expected key=value or key-, got {text!r}',
                connections.EXIT_USAGE,
            )
    path = f'/v1/objects/{kind}/{name}'
    answer = connections.call(
        connection, 'PATCH', path, json={'labels': patch}
    )
    connections.print_rows(connection, [answer.json()])


@main.command()
@click.argument('kind')
@click.argument('name')
@click.pass_obj
def delete(connection: connections.Connection, kind: str, name: str) -> None:
    """Delete a configuration object."""
    _check_kind(kind)
    connections.call(connection, 'DELETE', f'/v1/objects/{kind}/{name}')
    click.echo(f'{kind} {name}: deleted')


@main.command()
@click.option(
    '--explain',
    'subject',
    nargs=2,
    default=None,
    metavar='KIND NAME',
    help='Show what happened to a request, job or target, and why.',
)
@click.pass_obj
def status(
    connection: connections.Connection, subject: tuple[str, str] | None
) -> None:
    """Show hosts and targets."""
    if subject is not None:
        _explain(connection, *subject)
        return
    body = connections.call(connection, 'GET', '/v1/status').json()
    if connection.output == 'json':
        click.echo(json.dumps(body, indent=2))
        return
    click.echo(f'configuration version {body["config_version"]}\n')
    columns = ('host', 'availability_zone', 'state', 'caller_address', 'load')
    connections.print_rows(
        connection, _select_columns(body['members'], columns)
    )
    click.echo()
    columns = ('name', 'kind', 'availability_zone', 'leaving', 'running')
    connections.print_rows(
        connection, _select_columns(body['targets'], columns)
    )


def _explain(connection: connections.Connection, kind: str, name: str) -> None:
    """Show the events of a subject, oldest first."""
    quoted = urllib.parse.quote(name, safe='')
    path = f'/v1/explain/{kind}/{quoted}'
    body = connections.call(connection, 'GET', path).json()
    if connection.output == 'json':
        click.echo(json.dumps(body, indent=2))
        return
    rows = [
        {
            'seconds ago': row['age_seconds'],
            'host': row['host'],
            'event': f'PP{row["event"]} {row["name"]}',
            'details': row['fields'],
            'meaning': row['meaning'],
        }
        for row in body['events']
    ]
    connections.print_rows(connection, rows)
    if body['unreachable']:
        click.echo(f'no answer from {", ".join(body["unreachable"])}')


def _select_columns(
    rows: list[dict[str, typing.Any]], columns: tuple[str, ...]
) -> list[dict[str, typing.Any]]:
    return [{name: row[name] for name in columns} for row in rows]


@main.command()
@click.pass_obj
def drain(connection: connections.Connection) -> None:
    """Drain the host at --operator-url and stop its daemon."""
    body = connections.call(connection, 'POST', '/v1/drain').json()
    click.echo(f'host {body["host"]} is leaving')


@main.command()
@click.option('--availability-zone', default='')
@click.pass_obj
def entry(connection: connections.Connection, availability_zone: str) -> None:
    """Show the addresses that callers should use."""
    answer = connections.call(
        connection,
        'GET',
        '/v1/entry',
        caller=True,
        params={'availability_zone': availability_zone},
    )
    body = answer.json()
    rows = [{'address': address} for address in body['addresses']]
    connections.print_rows(connection, rows)


@main.command()
@click.argument('model')
@click.argument('prompt')
@click.option('--max-tokens', type=click.IntRange(min=1), default=64)
@click.option('--key', default='', help='Idempotency key.')
@click.pass_obj
def run(
    connection: connections.Connection,
    model: str,
    prompt: str,
    max_tokens: int,
    key: str,
) -> None:
    """Run one completion and print its text."""
    body = {'model': model, 'prompt': prompt, 'max_tokens': max_tokens}
    headers = {'Idempotency-Key': key} if key else {}
    answer = connections.call(
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
    type=click.Choice(sorted(deployments.DEPLOYMENTS)),
    default='athi',
)
@click.option('--log-file', type=click.Path(dir_okay=False), default='')
def run_demo(deployment: str, log_file: str) -> None:
    """Run an example deployment in one process, with injected faults."""
    if log_file:
        logs.open_log(log_file)
    else:
        logs.discard_library_logs()
    is_clean = anyio.run(demo.run_deployment, deployment, click.echo)
    sys.exit(0 if is_clean else connections.EXIT_FAILED)


main.add_command(jobs.job)
main.add_command(explain.command)
