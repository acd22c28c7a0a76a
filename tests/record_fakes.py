"""A store of records in memory, with fault switches."""

import collections
import json

import anyio
import result

from persimmonpass import records
from persimmonpass import store
from tests import fakes


def refused():
    """Return the failure of a call that had no effect."""
    return result.Err(store.unavailable('outage'))


class MemoryRecords:
    """Records in memory.

    :ivar port: the store's calls
    :ivar outage: every call fails before it has an effect
    :ivar silent_watches: watches return no changes
    :ivar holds_watches: watches are not answered until
        :meth:`forget_history` cuts them
    :ivar faults: faults of the next writes, in order; ``None`` for a write
        without a fault
    :ivar delayed: writes whose answer was lost and which
        :meth:`apply_delayed_writes` lets take effect
    :ivar calls: number of calls by name
    :ivar value_bytes: size of the largest value, ``None`` for no limit
    """

    def __init__(self):
        self.rows = {}
        self.version = 1
        self.value_bytes = None
        self.outage = False
        self.silent_watches = False
        self.holds_watches = False
        self.faults = collections.deque()
        self.delayed = []
        self.calls = collections.Counter()
        self.port = records.RecordPort(
            self._list,
            self._get,
            self._create,
            self._replace,
            self._set_status,
            self._delete,
            self._watch,
        )
        self._log = []
        self._history_start = 0
        self._changed = anyio.Event()

    def put(self, kind, name, data):
        """Write unconditionally, as another client."""
        self._record(kind, name, data, {})

    def remove(self, kind, name):
        """Remove a record, as another client."""
        row = self.rows.pop((kind, name))
        self.version += 1
        self._log.append(
            (kind, row._replace(version=self.version, deleted=True))
        )
        self._notify_watches()

    def forget_history(self):
        """Drop the history, so that watches from older versions fail."""
        self._history_start = self.version
        self.holds_watches = False
        self._log.clear()
        self._notify_watches()

    def apply_delayed_writes(self):
        """Let delayed writes take effect if their condition holds."""
        for write in self.delayed:
            write()
        self.delayed.clear()

    def _record(self, kind, name, data, status):
        self.version += 1
        row = records.Record(name, self.version, data, status)
        self.rows[kind, name] = row
        self._log.append((kind, row))
        self._notify_watches()

    def _notify_watches(self):
        self._changed.set()
        self._changed = anyio.Event()

    async def _write(self, name, key, condition, apply):
        self.calls[name] += 1
        await anyio.sleep(0)
        if self.outage:
            return result.Err(store.unavailable('outage'))
        fault = self.faults.popleft() if self.faults else None
        if fault == fakes.LOST_REQUEST:
            return result.Err(store.outcome_unknown('lost'))
        if fault == fakes.DELAYED:
            self.delayed.append(lambda: condition() and apply())
            return result.Err(store.outcome_unknown('delayed'))
        if not condition():
            return result.Err(store.conflict(str(key)))
        apply()
        if fault == fakes.LOST_ANSWER:
            return result.Err(store.outcome_unknown('lost'))
        return result.Ok(self.version)

    async def _create(self, kind, name, data):
        size = len(json.dumps(data, ensure_ascii=False).encode())
        if self.value_bytes is not None and size > self.value_bytes:
            self.calls['create'] += 1
            return result.Err(store.rejected('status 413'))
        return await self._write(
            'create',
            (kind, name),
            lambda: (kind, name) not in self.rows,
            lambda: self._record(kind, name, data, {}),
        )

    def _has_version(self, kind, name, version):
        row = self.rows.get((kind, name))
        return row is not None and row.version == version

    async def _replace(self, kind, name, data, version):
        return await self._write(
            'replace',
            (kind, name),
            lambda: self._has_version(kind, name, version),
            lambda: self._record(
                kind, name, data, self.rows[kind, name].status
            ),
        )

    async def _set_status(self, kind, name, status, version):
        return await self._write(
            'set_status',
            (kind, name),
            lambda: self._has_version(kind, name, version),
            lambda: self._record(
                kind, name, self.rows[kind, name].data, status
            ),
        )

    async def _delete(self, kind, name, version=None):
        return await self._write(
            'delete',
            (kind, name),
            lambda: version is None or self._has_version(kind, name, version),
            lambda: (kind, name) in self.rows and self.remove(kind, name),
        )

    async def _list(self, kind):
        self.calls['list'] += 1
        await anyio.sleep(0)
        if self.outage:
            return result.Err(store.unavailable('outage'))
        rows = [
            row
            for (row_kind, _), row in sorted(self.rows.items())
            if row_kind == kind
        ]
        return result.Ok(records.Snapshot(self.version, rows))

    async def _get(self, kind, name):
        self.calls['get'] += 1
        await anyio.sleep(0)
        if self.outage:
            return result.Err(store.unavailable('outage'))
        if (kind, name) not in self.rows:
            return result.Err(store.not_found(name))
        return result.Ok(self.rows[kind, name])

    async def _watch(self, kind, version, seconds):
        self.calls['watch'] += 1
        await anyio.sleep(0)
        if self.outage:
            return result.Err(store.unavailable('outage'))
        changed = []
        with anyio.move_on_after(seconds):
            while not self.holds_watches:
                if version < self._history_start:
                    return result.Err(records.history_lost(kind))
                changed = self._changes_after(kind, version)
                if changed:
                    break
                await self._changed.wait()
        if self.holds_watches:
            while self.holds_watches:
                await self._changed.wait()
            return result.Err(store.unavailable('the watch was cut'))
        if version < self._history_start:
            return result.Err(records.history_lost(kind))
        # A change at the very end of the wait belongs to the answer.
        changed = changed or self._changes_after(kind, version)
        if not self.silent_watches:
            version = max(version, self.version)
        return result.Ok(records.Snapshot(version, changed))

    def _changes_after(self, kind, version):
        if self.silent_watches:
            return []
        return [
            row
            for row_kind, row in self._log
            if row_kind == kind and row.version > version
        ]
