"""Output of a batch item so far, shared between hosts.

The host that runs an item sends the item's events to backup hosts, so that
one of them can resume the item after the last event that it has.
"""

import typing

from persimmonpass.policy import stream_versions


class Source(typing.NamedTuple):
    """The host that wrote a text, ordered by term.

    A text of a later term replaces one of an earlier term.

    :ivar term: the host's term as batch runner, see ``batch_role``
    :ivar host: name of the host
    """

    term: int
    host: str


NO_SOURCE = Source(0, '')


class ItemText:
    """Data of an item's events so far.

    Events are only appended to events of the same source. Two runs may have
    stopped at different events, and each resumes after its own last event.

    :ivar texts: data of the events
    :ivar last_id: id of the last event; ``None`` before the first and if it
        has none
    :ivar source: the source that last wrote the text
    :ivar origin: software that produced the events; ``None`` before the first
    :ivar restarts: how often all events were dropped
    """

    def __init__(self) -> None:
        self.texts: list[str] = []
        self.last_id: int | None = None
        self.source = NO_SOURCE
        self.origin: stream_versions.Origin | None = None
        self.restarts = 0

    def claim(self, source: Source) -> None:
        """Start a run on this host; updates of earlier sources are refused."""
        self.source = max(self.source, source)

    def restart(self) -> None:
        """Drop all events, so that the next run begins with the first one."""
        self.texts = []
        self.last_id = None
        self.origin = None
        self.restarts += 1

    def add(
        self,
        text: str,
        event_id: int | None,
        origin: stream_versions.Origin | None = None,
    ) -> None:
        """Append an event of a run on this host.

        :param text: data of the event
        :param origin: software that produced it
        """
        self.texts.append(text)
        self.last_id = event_id
        self.origin = origin

    def apply(
        self,
        source: Source,
        count: int,
        last_id: int | None,
        texts: list[str],
        origin: stream_versions.Origin | None = None,
    ) -> bool:
        """Apply an update that another host sent.

        :param count: number of events that the source sent before these; 0
            replaces the whole text
        :param last_id: id of the last event in ``texts``
        :param texts: data of the events
        :param origin: software that produced all events of the text
        :returns: whether the update was applied; ``False`` if its source is
            out of date or if events before it are missing
        """
        if source < self.source:
            return False
        if count == 0:
            self.texts = list(texts)
        elif (
            source == self.source
            and origin == self.origin
            and count <= len(self.texts)
        ):
            self.texts[count:] = texts
        else:
            return False
        self.source = source
        self.last_id = last_id
        self.origin = origin
        return True
