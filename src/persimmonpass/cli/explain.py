"""Shows the log lines of a request, job, item or target, in order."""

import collections.abc
import json
import typing

import click

# Fields whose value may be the subject of a search.
SUBJECT_FIELDS = ('key', 'job', 'item', 'target', 'digest', 'member')
# Fields that every line has; the other fields are shown as details.
COMMON_FIELDS = frozenset(
    ('host', 'level', 'message_type', 'task_level', 'task_uuid', 'timestamp')
)
_LogLine = dict[str, typing.Any]


def read_lines(texts: collections.abc.Iterable[str]) -> list[_LogLine]:
    """Parse log lines and skip all other lines.

    :param texts: lines; each may have a prefix before its JSON object
    """
    log_lines = []
    for text in texts:
        _, brace, rest = text.partition('{')
        try:
            line = json.loads(brace + rest)
        except ValueError:
            # Other programs may write to the same file.
            continue
        if isinstance(line, dict) and 'message_type' in line:
            log_lines.append(line)
    return log_lines


def select(lines: list[_LogLine], subject: str) -> list[_LogLine]:
    """Return the lines in which a field names the subject, oldest first."""
    named = [
        line
        for line in lines
        if any(line.get(field) == subject for field in SUBJECT_FIELDS)
    ]
    return sorted(named, key=lambda line: line.get('timestamp', 0.0))


def render(lines: list[_LogLine]) -> list[str]:
    """Format one line of text per event.

    Times are in seconds since the first event.
    """
    if not lines:
        return []
    started_at = lines[0].get('timestamp', 0.0)
    rendered = []
    for line in lines:
        details = ' '.join(
            f'{name}={value}'
            for name, value in line.items()
            if name not in COMMON_FIELDS and value not in ('', None)
        )
        seconds = line.get('timestamp', 0.0) - started_at
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
    """Show what happened to SUBJECT on all hosts, in order, from log files.

    SUBJECT is the id of a request, job, item or target. Without FILES, the
    log is read from standard input.
    """
    sources = files or (click.get_text_stream('stdin'),)
    lines = [line for file in sources for line in read_lines(file)]
    if not lines:
        raise click.UsageError('the input has no log lines')
    selected = select(lines, subject)
    if not selected:
        raise click.UsageError(f'no log line names {subject}')
    for text in render(selected):
        click.echo(text)
