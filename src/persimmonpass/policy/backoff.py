"""Pauses that double with each event."""

# Any limit has been reached by then. Higher powers do not fit into a float.
MAX_DOUBLINGS = 30


def doubled(seconds: float, events: int, limit: float) -> float:
    """Return a pause that doubles with each event.

    :param seconds: pause after the first event
    :param events: number of events
    :param limit: longest pause in seconds
    """
    doublings = min(MAX_DOUBLINGS, max(0, events - 1))
    return min(limit, seconds * 2.0**doublings)
