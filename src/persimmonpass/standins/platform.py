"""Stand-in for the platform: its object API and its list of targets."""

import collections
import math
import typing

import anyio
import cbor2
import msgspec
from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing

from persimmonpass.standins import faults

MAX_VALUE_BYTES = 1_000_000
MAX_PAGE_BYTES = 1_000_000
MAX_LOG_ENTRIES = 100_000


class ListedTarget(msgspec.Struct):
    """A target in the platform's list.

    :ivar state: ``live`` or ``leaving``
    """

    name: str
    address: str
    kind: str
    availability_zone: str
    labels: dict[str, str] = {}
    state: str = 'live'
    checks_fencing: bool = False


class Platform:
    """An object store with versions, and a list of targets.

    :ivar app: the ASGI application
    :ivar calls: number of calls by operation
    """

    def __init__(self, targets: typing.Iterable[ListedTarget] = ()) -> None:
        self.calls: collections.Counter[str] = collections.Counter()
        self._objects: dict[str, tuple[int, bytes]] = {}
        self._log: collections.deque[tuple[int, str, bytes, bool]] = (
            collections.deque(maxlen=MAX_LOG_ENTRIES)
        )
        self._version = 0
        self._changed = anyio.Event()
        self._targets = {target.name: target for target in targets}
        self._snapshots = [(-math.inf, dict(self._targets))]
        self.app = faults.FaultInjector(
            applications.Starlette(routes=self._routes())
        )

    def list_target(self, target: ListedTarget) -> None:
        """Add a target to the list or replace it."""
        self._targets[target.name] = target
        self._save_snapshot()

    def unlist_target(self, name: str) -> None:
        """Remove a target from the list."""
        self._targets.pop(name, None)
        self._save_snapshot()

    def _save_snapshot(self) -> None:
        self._snapshots.append((anyio.current_time(), dict(self._targets)))

    def _lagged_targets(self) -> dict[str, ListedTarget]:
        """Return the list as it was ``lag_seconds`` ago."""
        cutoff = anyio.current_time() - self.app.faults.lag_seconds
        visible = [
            targets for time, targets in self._snapshots if time <= cutoff
        ]
        return visible[-1] if visible else self._snapshots[0][1]

    def _routes(self) -> list[routing.Route]:
        key = '/v1/objects/{key:path}'
        return [
            routing.Route('/v1/objects', self._list),
            routing.Route(key, self._get, methods=['GET']),
            routing.Route(key, self._put, methods=['PUT']),
            routing.Route(key, self._delete, methods=['DELETE']),
            routing.Route('/v1/watch', self._watch),
            routing.Route('/v1/targets', self._list_targets),
            routing.Route('/control/calls', self._count_calls),
            routing.Route(
                '/control/targets', self._change_target, methods=['POST']
            ),
        ]

    async def _get(self, request: requests.Request) -> responses.Response:
        self.calls['get'] += 1
        stored = self._objects.get(request.path_params['key'])
        if stored is None:
            return responses.Response(status_code=404)
        version, data = stored
        return responses.Response(data, headers={'etag': str(version)})

    async def _put(self, request: requests.Request) -> responses.Response:
        self.calls['put'] += 1
        key = request.path_params['key']
        data = await request.body()
        if len(data) > MAX_VALUE_BYTES:
            return responses.Response(status_code=413)
        if not self._meets_condition(request, key):
            return responses.Response(status_code=412)
        self._log_change(key, data, deleted=False)
        self._objects[key] = (self._version, data)
        return responses.Response(headers={'etag': str(self._version)})

    async def _delete(self, request: requests.Request) -> responses.Response:
        self.calls['delete'] += 1
        key = request.path_params['key']
        if not self._meets_condition(request, key):
            return responses.Response(status_code=412)
        if self._objects.pop(key, None) is not None:
            self._log_change(key, b'', deleted=True)
        return responses.Response(status_code=204)

    def _meets_condition(self, request: requests.Request, key: str) -> bool:
        stored = self._objects.get(key)
        if request.headers.get('if-none-match') == '*':
            return stored is None
        expected = request.headers.get('if-match')
        if expected is None:
            return True
        return stored is not None and str(stored[0]) == expected

    def _log_change(self, key: str, data: bytes, *, deleted: bool) -> None:
        self._version += 1
        self._log.append((self._version, key, data, deleted))
        self._changed.set()
        self._changed = anyio.Event()

    async def _list(self, request: requests.Request) -> responses.Response:
        self.calls['list'] += 1
        prefix = request.query_params.get('prefix', '')
        after = request.query_params.get('after', '')
        page: list[tuple[str, int, bytes]] = []
        size = 0
        more = False
        for key in sorted(self._objects):
            if not key.startswith(prefix) or key <= after:
                continue
            version, data = self._objects[key]
            if page and size + len(data) > MAX_PAGE_BYTES:
                more = True
                break
            page.append((key, version, data))
            size += len(data)
        return responses.Response(cbor2.dumps({'objects': page, 'more': more}))

    async def _watch(self, request: requests.Request) -> responses.Response:
        self.calls['watch'] += 1
        prefix = request.query_params.get('prefix', '')
        after = int(request.query_params.get('after', '0'))
        timeout = float(request.query_params.get('timeout', '0'))
        with anyio.move_on_after(timeout):
            while not self._changes(prefix, after):
                await self._changed.wait()
        body = {
            'version': max(self._version, after),
            'changes': self._changes(prefix, after),
        }
        return responses.Response(cbor2.dumps(body))

    def _changes(
        self, prefix: str, after: int
    ) -> list[tuple[str, int, bytes, bool]]:
        return [
            (key, version, data, deleted)
            for version, key, data, deleted in self._log
            if version > after and key.startswith(prefix)
        ]

    async def _list_targets(
        self, request: requests.Request
    ) -> responses.Response:
        """Return the list as it was ``lag_seconds`` ago."""
        self.calls['targets'] += 1
        snapshot = self._lagged_targets()
        rows = [msgspec.to_builtins(row) for row in snapshot.values()]
        return responses.JSONResponse(rows)

    async def _count_calls(
        self, request: requests.Request
    ) -> responses.Response:
        return responses.JSONResponse(self.calls)

    async def _change_target(
        self, request: requests.Request
    ) -> responses.Response:
        target = msgspec.json.decode(await request.body(), type=ListedTarget)
        if target.state == 'gone':
            self.unlist_target(target.name)
        else:
            self.list_target(target)
        return responses.Response(status_code=204)
