"""Command-line interface of ``persimmonpass-standin``."""

import os

import anyio
import anyio.abc
import click
from starlette import types

from persimmonpass import servers
from persimmonpass import settings
from persimmonpass.standins import engine
from persimmonpass.standins import platform
from persimmonpass.standins import service

EXIT_CRASHED = 1

listen_option = click.option(
    '--listen', type=settings.ADDRESS, default='127.0.0.1:0'
)


@click.group(help='Run a small stand-in for an external system.')
def main() -> None:
    """Group the commands."""


@main.command('platform')
@listen_option
def run_platform(listen: str) -> None:
    """Run the platform: its object API and its list of targets."""
    anyio.run(_serve, platform.Platform().app, listen)


@main.command('engine')
@listen_option
@click.option('--name', required=True)
@click.option('--model', 'models', multiple=True, help='model@version')
@click.option('--ignore-fencing', is_flag=True)
@click.option('--seed', type=int, default=0)
@click.option('--step', type=settings.DURATION, default='10ms')
def run_engine(
    listen: str,
    name: str,
    models: tuple[str, ...],
    ignore_fencing: bool,
    seed: int,
    step: float,
) -> None:
    """Run a model engine."""
    model_engine = engine.Engine(
        name,
        models,
        engine.Speed(step_seconds=step),
        checks_fencing=not ignore_fencing,
        seed=seed,
    )
    anyio.run(_serve_engine, model_engine, listen)


@main.command('service')
@listen_option
@click.option('--name', required=True)
def run_service(listen: str, name: str) -> None:
    """Run a plain service that counts how often each call ran."""
    anyio.run(_serve, service.Service(name).app, listen)


async def _serve(app: types.ASGIApp, listen: str) -> None:
    listener = servers.listen(listen)
    click.echo(f'listening on {servers.address_of(listener)}')
    await servers.serve_http(app, listener, anyio.Event())


async def _serve_engine(model_engine: engine.Engine, listen: str) -> None:
    async with anyio.create_task_group() as tasks:
        await tasks.start(model_engine.run)
        tasks.start_soon(_serve, model_engine.app, listen)
        await model_engine.wait_crashed()
        # A crash closes no connection or stream cleanly.
        os._exit(EXIT_CRASHED)
