"""Reads the results of batch jobs."""

import collections.abc

import result

from persimmonpass import events
from persimmonpass import jobs
from persimmonpass import ledger
from persimmonpass import store
from persimmonpass import verdicts

ItemRow = tuple[jobs.Item, jobs.ItemResult]


async def read_all(
    port: store.StorePort, host: str, job: jobs.Job
) -> collections.abc.AsyncGenerator[
    result.Result[ItemRow, verdicts.Failure], None
]:
    """Yield all items of a job in order, each with its result or status.

    Ends after the first failure.

    :param port: the object store
    :param host: this host, which seals the chunks of a cancelled job
    :param job: the job
    """
    for number in range(len(job.parts)):
        rows = await _read_part(port, host, job, number)
        if isinstance(rows, result.Err):
            yield rows
            return
        for row in rows.ok_value:
            yield result.Ok(row)


async def read_item_result(
    port: store.StorePort, host: str, job: jobs.Job, item_id: str
) -> result.Result[ItemRow, verdicts.Failure]:
    """Return one item with its result or status.

    :param port: the object store
    :param host: this host, which seals the chunk of a cancelled job
    :param job: the job
    :param item_id: id of the item
    :returns: a failure with ``STORE_NOT_FOUND`` if there is no such item
    """
    for number, part in enumerate(job.parts):
        items = await port.get(jobs.items_key(job.key, part.digest))
        if isinstance(items, result.Err):
            return items
        for item in jobs.decode_items(items.ok_value.data):
            if item.id == item_id:
                states = await _read_states(port, host, job, number)
                return states.map(lambda found: _row(job, item, found))
    return result.Err(store.not_found(f'item {item_id!r}'))


async def _read_part(
    port: store.StorePort, host: str, job: jobs.Job, number: int
) -> result.Result[list[ItemRow], verdicts.Failure]:
    key = jobs.items_key(job.key, job.parts[number].digest)
    items = await port.get(key)
    if isinstance(items, result.Err):
        return items
    states = await _read_states(port, host, job, number)
    if isinstance(states, result.Err):
        return states
    return result.Ok(
        [
            _row(job, item, states.ok_value)
            for item in jobs.decode_items(items.ok_value.data)
        ]
    )


def _row(
    job: jobs.Job, item: jobs.Item, states: dict[str, jobs.ItemState]
) -> ItemRow:
    """Return an item with its result, or with a result that has its status."""
    state = states.get(item.id, jobs.ItemState())
    if state.result is not None:
        return item, state.result
    status = jobs.ITEM_WAITING
    if job.state == jobs.CANCELLED:
        status = jobs.CANCELLED
    return item, jobs.ItemResult(status, '', state.attempts)


async def _read_states(
    port: store.StorePort, host: str, job: jobs.Job, number: int
) -> result.Result[dict[str, jobs.ItemState], verdicts.Failure]:
    """Return the states of a chunk's items from its ledger.

    After a job is cancelled, an owner that has not received the cancellation
    may still commit a result. The reader therefore first takes over the
    ledger of an unfinished chunk and seals it, so that an item that was read
    as cancelled stays cancelled.

    :param number: number of the part
    """
    path = jobs.ledger_key(job.key, number)
    found = await port.get(path)
    if isinstance(found, result.Err):
        if found.err_value.event == events.STORE_NOT_FOUND:
            return result.Ok({})
        return found
    records = await ledger.read(port, path)
    if isinstance(records, result.Err):
        return records
    states = jobs.fold(records.ok_value)
    finished = sum(state.result is not None for state in states.values())
    is_final = (
        job.state != jobs.CANCELLED
        or jobs.SEAL_KEY in states
        or finished == job.parts[number].items
    )
    if is_final:
        return result.Ok(states)
    owned_ledger = ledger.Ledger(port, path, host, jobs.merge)
    sealed = await owned_ledger.open()
    if isinstance(sealed, result.Ok):
        record = ledger.Record(jobs.SEAL_KEY, jobs.SEALED, None)
        sealed = await owned_ledger.append([record])
    if isinstance(sealed, result.Err):
        return sealed
    return result.Ok(owned_ledger.values())
