"""Log lines about published items that cannot be used, at a bounded rate."""

from wasabilb_core.published import StateItem

from wasabilb_node.clock import now
from wasabilb_node.logs import EventLog

# At most this many lines in each interval, seconds: a writer may publish any number of such items.
MAX_LINES = 20
INTERVAL_S = 10.0
MAX_DETAIL_CHARS = 200


class UnusableItems:
    """Logs each change to unusable content once, until a flood of them.

    Parameters
    ----------
    log : EventLog
        Receives the lines.
    """

    def __init__(self, *, log: EventLog) -> None:
        self._log = log
        self._since = float("-inf")
        self._lines = self._omitted = 0

    def on_unusable(self, item: StateItem, detail: str) -> None:
        """Log an item that cannot be used."""
        if now() - self._since >= INTERVAL_S:
            self._since, self._lines = now(), 0
        if self._lines >= MAX_LINES:
            self._omitted += 1
            return
        self._log.event(
            "published_unusable",
            name=item.name[:MAX_DETAIL_CHARS],
            revision=item.revision,
            detail=detail[:MAX_DETAIL_CHARS],
            omitted=self._omitted or None,
        )
        self._lines, self._omitted = self._lines + 1, 0
