"""Tells from log files what happened to a request, job, item or target."""

import collections.abc
import json
import typing

import click

# Fields that name a subject.
SUBJECT_FIELDS = ('key', 'job', 'item', 'target', 'digest', 'member')
# Fields that each line has; the others are shown as details.
FRAME_FIELDS = frozenset(
    ('host', 'level', 'message_type', 'task_level', 'task_uuid', 'timestamp')
)
_Line = dict[str, typing.Any]


def read_lines(texts: collections.abc.Iterable[str]) -> list[_Line]:
    """Return the log lines of some texts; anything else is passed over.

    :param texts: lines, each with a JSON object that something may precede
    """
    found = []
    for text in texts:
        _, brace, rest = text.partition('{')
        try:
            line = json.loads(brace + rest)
        except ValueError:
            # Other programs may write to the same place.
            continue
        if isinstance(line, dict) and 'message_type' in line:
            found.append(line)
    return found


def select(lines: list[_Line], subject: str) -> list[_Line]:
    """Return the lines that name a subject, oldest first."""
    named = [
        line
        for line in lines
        if any(line.get(field) == subject for field in SUBJECT_FIELDS)
    ]
    return sorted(named, key=lambda line: line.get('timestamp', 0.0))


def render(lines: list[_Line]) -> list[str]:
    """Return a line of text for each event, with times since the first."""
    if not lines:
        return []
    began = lines[0].get('timestamp', 0.0)
    rendered = []
    for line in lines:
        details = ' '.join(
            f'{name}={value}'
            for name, value in line.items()
            if name not in FRAME_FIELDS and value not in ('', None)
        )
        seconds = line.get('timestamp', 0.0) - began
        rendered.append(
            f'{seconds:9.3f} s  {line.get("host", ""):20} '
            f'{line["message_type"]}  {details}'
        )
    return rendered


@click.command('explain')
@click.argument('subject')
@click.argument(
    'files', nargs=-1, type=click.File(encoding='utf-8', errors='replace')
)
def command(subject: str, files: tuple[typing.TextIO, ...]) -> None:
    """Show from logs what happened to SUBJECT, on all hosts, in order.

    SUBJECT is the id of a request, job, item or target. Without FILES the
    logs are read from standard input.
    """
    sources = files or (click.get_text_stream('stdin'),)
    lines = [line for file in sources for line in read_lines(file)]
    if not lines:
        raise click.UsageError('the input has no log lines')
    found = select(lines, subject)
    if not found:
        raise click.UsageError(f'no log line names {subject}')
    for text in render(found):
        click.echo(text)
