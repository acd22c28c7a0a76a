"""Storage host, which completes requests for its own retirement.

All durable data is in the platform's store, and a storage host holds none. It
can therefore be removed at any time, so each retirement request is completed
at once.
"""

import collections.abc
import typing

import anyio
import result

from persimmonpass import events
from persimmonpass import records

WATCH_TIMEOUT_SECONDS = 25.0
RETRY_SECONDS = 1.0


class RetirementPorts(typing.NamedTuple):
    """Dependencies of a storage host.

    :ivar store: port of the platform's store
    :ivar kind: kind of the records that request the retirement of a host
    :ivar is_completed: returns whether a retirement has been completed
    :ivar completed_status: returns the status of a completed retirement
    """

    store: records.RecordPort
    kind: str
    is_completed: collections.abc.Callable[[records.Record], bool]
    completed_status: collections.abc.Callable[[], records.Data]


async def run(host: str, ports: RetirementPorts) -> None:
    """Complete the retirement requests for this host.

    Runs until it is cancelled.

    :param host: id of this host, which is the name of its records
    """
    version: int | None = None
    while True:
        if version is None:
            found = await ports.store.list(ports.kind)
        else:
            found = await ports.store.watch(
                ports.kind, version, WATCH_TIMEOUT_SECONDS
            )
        if isinstance(found, result.Err):
            version = None
            await anyio.sleep(RETRY_SECONDS)
            continue
        version = found.ok_value.version
        for record in found.ok_value.records:
            if record.name != host or record.deleted:
                continue
            if ports.is_completed(record):
                continue
            written = await ports.store.set_status(
                ports.kind, host, ports.completed_status(), record.version
            )
            if isinstance(written, result.Err):
                # The write may have taken effect; listing again shows it.
                version = None
                await anyio.sleep(RETRY_SECONDS)
                break
            events.log(
                events.RETIREMENT_COMPLETED,
                host=host,
                revision=record.version,
            )
