"""Generates docs/events.md from the event catalogue in the code."""

import pathlib

from persimmonpass import events

PAGE = pathlib.Path(__file__).resolve().parent.parent / 'docs' / 'events.md'
HEAD = """# Events

Each log line is a JSON object whose `message_type` is `PP<number> <name>`.
Numbers are stable and never reused. `make docs` writes this page.

| number | name | level | meaning |
|---|---|---|---|
"""


def render() -> str:
    """Return the text of the page as Markdown."""
    rows = [
        f'| {event.number} | `{event.name}` | {event.level.value} '
        f'| {event.meaning} |\n'
        for _, event in sorted(events.CATALOGUE.items())
    ]
    return HEAD + ''.join(rows)


if __name__ == '__main__':
    PAGE.write_text(render())
