"""Text of a batch item, as its runner has it and as others are told."""

import typing


class Source(typing.NamedTuple):
    """Who wrote a text; a later term's text replaces an earlier one's.

    :ivar term: of the role in which the host ran the item
    """

    term: int
    host: str


NOBODY = Source(0, '')


class ItemText:
    """Data of an item's events so far.

    A text is only ever joined with more of the same source: two runs may have
    been cut at different events, and each goes on where it was asked to.

    :ivar texts: data of the events
    :ivar last_id: id of the last event; ``None`` before the first
    :ivar source: who wrote it last
    """

    def __init__(self) -> None:
        self.texts: list[str] = []
        self.last_id: int | None = None
        self.source = NOBODY

    def claim(self, source: Source) -> None:
        """Begin a run of this host's own; earlier ones may tell no more."""
        self.source = max(self.source, source)

    def add(self, text: str, event_id: int | None) -> None:
        """Add an event of this host's own run."""
        self.texts.append(text)
        self.last_id = event_id

    def apply(
        self, source: Source, count: int, last_id: int | None, texts: list[str]
    ) -> bool:
        """Take what another host's text has.

        :param count: events that were told before these
        :returns: whether it was taken
        """
        if source < self.source:
            return False
        if count == 0:
            self.texts = list(texts)
        elif source == self.source and count <= len(self.texts):
            self.texts[count:] = texts
        else:
            return False
        self.source = source
        self.last_id = last_id
        return True
