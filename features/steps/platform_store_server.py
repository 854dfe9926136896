"""Stand-in for the platform's store over HTTP, which may come back from a copy in a new era."""

import asyncio
import base64
import copy
import sys
from pathlib import Path

import tornado.web
from attrs import define, field
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets

sys.path.append(str(Path(__file__).resolve().parents[2] / "platform"))

from wasabilb_platform import names

ERA_HEADER = "Store-Era"


@define(kw_only=True)
class StoreContent:
    """What a copy of the store holds; `changes` is its history, the latest one last."""

    revision: int = 0
    items: dict = field(factory=dict)
    changes: list = field(factory=list)


class PlatformStoreServer:
    """Store with faults; used in an event loop as an asynchronous context manager.

    Attributes
    ----------
    page_items : int
        Items of one page of all items.
    tells_era : bool
        Whether answers have the header of the era.
    is_away : bool
        Whether each call is answered with 503; waiting watches stay open.
    on_page : callable or None
        Called before each page of all items, with its number from 0.
    """

    def __init__(self):
        self.content, self.era = StoreContent(), 1
        self.page_items, self.tells_era, self.is_away, self.on_page = 2, True, False, None
        self.calls, self.waiting = [], 0
        self._changed = asyncio.Event()

    async def __aenter__(self):
        app = tornado.web.Application(
            [
                (names.READ_ALL.partition("?")[0], PagesHandler, {"store": self}),
                (names.WATCH.partition("?")[0], WatchHandler, {"store": self}),
            ],
            log_function=lambda handler: None,
        )
        sockets = bind_sockets(0, "127.0.0.1")
        self.address = f"127.0.0.1:{sockets[0].getsockname()[1]}"
        self._server = HTTPServer(app)
        self._server.add_sockets(sockets)
        return self

    async def __aexit__(self, *_):
        self._server.stop()
        await self._server.close_all_connections()

    def write(self, key, value):
        """Write an item, or remove it with the value None."""
        content = self.content
        content.revision += 1
        change = {"key": key, "revision": content.revision}
        if value is None:
            content.items.pop(key, None)
            change["deleted"] = True
        else:
            change["value"] = base64.b64encode(value).decode()
            content.items[key] = change
        content.changes.append(change)
        self._notify()

    def copy(self):
        """Return a copy from which the store can be restored."""
        return copy.deepcopy(self.content)

    def restore(self, content):
        """Come back from a copy in the next era; watches that wait are answered now."""
        self.content, self.era, self.is_away = copy.deepcopy(content), self.era + 1, False
        self._notify()

    async def wait_for_change(self, timeout_s):
        """Wait for a write or a restore, at most for the time."""
        try:
            await asyncio.wait_for(self._changed.wait(), timeout_s)
        except TimeoutError:
            return

    def _notify(self):
        self._changed.set()
        self._changed = asyncio.Event()


class StoreHandler(tornado.web.RequestHandler):
    """Base class of the store's calls."""

    def initialize(self, store):
        self.store = store

    def prepare(self):
        self.store.calls.append(self.request.path)
        if self.store.is_away:
            self.set_status(503)
            self.finish()

    def answer(self, status, body):
        """Send an answer, with the era unless the store does not tell it."""
        if self.store.tells_era:
            self.set_header(ERA_HEADER, str(self.store.era))
        self.set_status(status)
        self.finish(body)


class PagesHandler(StoreHandler):
    """Reads a page of all items."""

    def get(self):
        store, after = self.store, self.get_query_argument("after", "")
        keys = sorted(key for key in store.content.items if key > after)
        if store.on_page is not None:
            store.on_page(len([path for path in store.calls if path == self.request.path]) - 1)
            keys = sorted(key for key in store.content.items if key > after)
        page = [store.content.items[key] for key in keys[: store.page_items]]
        body = {"items": page, "currentRev": store.content.revision}
        self.answer(200, {**body, "morePages": len(keys) > store.page_items})


class WatchHandler(StoreHandler):
    """Waits for changes after a revision."""

    async def get(self):
        store, after = self.store, int(self.get_query_argument("after"))
        due = asyncio.get_running_loop().time() + int(self.get_query_argument("waitMs")) / 1000
        store.waiting += 1
        try:
            while after == store.content.revision:
                wait_s = due - asyncio.get_running_loop().time()
                if wait_s <= 0:
                    break
                await store.wait_for_change(wait_s)
        finally:
            store.waiting -= 1
        content = store.content
        if after > content.revision:
            self.answer(410, {})
            return
        events = [change for change in content.changes if change["revision"] > after]
        self.answer(200, {"events": events, "currentRev": content.revision})
