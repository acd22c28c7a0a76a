"""Runs a storage host, which keeps nothing that must last.

What lasts lies in the platform's store, so that a storage host may go at any
time: a request to empty it is complete at once.
"""

import collections.abc
import typing

import anyio
import result

from persimmonpass import events
from persimmonpass import records

WATCH_SECONDS = 25.0
RETRY_SECONDS = 1.0


class RetirementPorts(typing.NamedTuple):
    """What a storage host works with.

    :ivar kind: name of the kind of requests to empty a host
    :ivar is_completed: whether a request is done
    :ivar completed_status: the status that says so
    """

    store: records.RecordPort
    kind: str
    is_completed: collections.abc.Callable[[records.Record], bool]
    completed_status: collections.abc.Callable[[], records.Data]


async def run(host: str, ports: RetirementPorts) -> None:
    """Answer requests to empty this host, for ever."""
    version: int | None = None
    while True:
        if version is None:
            found = await ports.store.list(ports.kind)
        else:
            found = await ports.store.watch(ports.kind, version, WATCH_SECONDS)
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
                # The list says whether it took effect all the same.
                version = None
                await anyio.sleep(RETRY_SECONDS)
                break
            events.log(
                events.RETIREMENT_COMPLETED,
                host=host,
                revision=record.version,
            )
