"""Decides from silence whether a host is alive."""

SUSPECT_AFTER_SECONDS = 2.0
DEAD_AFTER_SECONDS = 5.0


def state(present: str, silence_seconds: float) -> str:
    """Return the state of a host.

    :param present: its state until now
    :param silence_seconds: time since its last heartbeat
    """
    if silence_seconds >= DEAD_AFTER_SECONDS:
        return 'dead'
    if present == 'leaving':
        return present
    if silence_seconds >= SUSPECT_AFTER_SECONDS:
        return 'suspect'
    return 'alive'
