"""The leaving hosts by the platform's host list, which may come back from an older copy."""

from collections.abc import Collection, Iterable

import attrs
from attrs import field, frozen


def _names(hosts: Iterable[str]) -> frozenset[str]:
    return frozenset(hosts)


@frozen(kw_only=True)
class LeavingNews:
    """What a host list says of leaving hosts, as it passes between processes.

    Parameters
    ----------
    era : int
        Era of the list; it rises when the list comes back from a copy.
    as_of : int
        Sequence number of the list within its era.
    listed : frozenset of str
        Hosts that the list shows as leaving or gone.
    carried : frozenset of str
        Hosts that were leaving in an earlier era and have not written their state since.
    carried_from : tuple of int
        Era and number of the list in which these were leaving.
    returned : frozenset of str
        Hosts that were carried and have written in this era that they are live.
    """

    era: int = 0
    as_of: int = 0
    listed: frozenset[str] = field(factory=frozenset, converter=_names)
    carried: frozenset[str] = field(factory=frozenset, converter=_names)
    carried_from: tuple[int, int] = (0, 0)
    returned: frozenset[str] = field(factory=frozenset, converter=_names)

    @property
    def position(self) -> tuple[int, int]:
        """Return era and number, which order the lists."""
        return self.era, self.as_of

    @property
    def leaving(self) -> frozenset[str]:
        """Return all hosts that count as leaving."""
        return self.listed | self.carried


class LeavingList:
    """Merges host lists, so that a list from an older copy brings no leaving host back.

    The merge of lists of one era and number is commutative, associative and idempotent. A list of
    a lower number is ignored, and one of an earlier era too.
    """

    def __init__(self) -> None:
        self._news = LeavingNews()
        self._written_live: frozenset[str] = frozenset()
        self._written_era = 0

    @property
    def news(self) -> LeavingNews:
        """Return the merged list."""
        return self._news

    def on_read(self, news: LeavingNews, *, written_live: Collection[str]) -> bool:
        """Merge a list that this process has read; return whether that changed anything.

        Parameters
        ----------
        written_live : collection of str
            Hosts that the list shows as live with a state that was written in its era.
        """
        if news.position >= self._news.position:
            self._written_live = frozenset(written_live)
            self._written_era = news.era
        return self.on_news(news)

    def on_news(self, news: LeavingNews) -> bool:
        """Merge the list of a peer; return whether that changed anything."""
        known = self._news
        if news.position < known.position:
            return False
        returned = news.returned
        if news.era > known.era:
            carried, carried_from = known.leaving, known.position
        else:
            carried, carried_from = known.carried, known.carried_from
            returned |= known.returned
        # Who heard more of the earlier era also knows which hosts had returned in it.
        if news.carried_from > carried_from:
            carried, carried_from = news.carried, news.carried_from
        elif news.carried_from == carried_from:
            carried |= news.carried
        if self._written_era == news.era:
            returned |= carried & self._written_live
        self._news = attrs.evolve(
            news, carried=carried - returned, carried_from=carried_from, returned=returned
        )
        return self._news != known
