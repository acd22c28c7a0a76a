"""Commands of the tool for batch jobs."""

import typing

import click

from persimmonpass.cli import connection as connections
from persimmonpass import settings


@click.group('job', cls=connections.SuggestingGroup)
def job() -> None:
    """Submit and watch batch jobs."""


@job.command('submit')
@click.argument('name')
@click.option('--service', required=True)
@click.option('--due', type=settings.DURATION, default='24h')
@click.option('-f', 'path', type=click.File('rb'), required=True)
@click.pass_obj
def submit_job(
    connection: connections.Connection,
    name: str,
    service: str,
    due: float,
    path: typing.BinaryIO,
) -> None:
    """Submit the items of an NDJSON file as a job."""
    answer = connections.call(
        connection,
        'PUT',
        f'/v1/jobs/{name}',
        caller=True,
        params={'service': service, 'due_seconds': due},
        content=path,
    )
    connections.print_rows(connection, [answer.json()])


@job.command('status')
@click.argument('name')
@click.pass_obj
def show_job(connection: connections.Connection, name: str) -> None:
    """Show the progress of a job."""
    answer = connections.call(
        connection, 'GET', f'/v1/jobs/{name}', caller=True
    )
    connections.print_rows(connection, [answer.json()])


@job.command('cancel')
@click.argument('name')
@click.pass_obj
def cancel_job(connection: connections.Connection, name: str) -> None:
    """Cancel a job."""
    path = f'/v1/jobs/{name}/cancel'
    connections.print_rows(
        connection,
        [connections.call(connection, 'POST', path, caller=True).json()],
    )


@job.command('results')
@click.argument('name')
@click.pass_obj
def read_job(connection: connections.Connection, name: str) -> None:
    """Print the results of a job as NDJSON."""
    path = f'/v1/jobs/{name}/results'
    click.echo(
        connections.call(connection, 'GET', path, caller=True).text, nl=False
    )


@job.command('item')
@click.argument('name')
@click.argument('item')
@click.pass_obj
def read_item(
    connection: connections.Connection, name: str, item: str
) -> None:
    """Show the result of one item of a job."""
    path = f'/v1/jobs/{name}/items/{item}'
    answer = connections.call(connection, 'GET', path, caller=True)
    connections.print_rows(connection, [answer.json()])
