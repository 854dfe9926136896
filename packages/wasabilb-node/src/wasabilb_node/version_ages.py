"""Ages of named versions, which processes ask each other for.

An age travels only in the answer to a request, and counts from when the request was sent. So time
that the answer spends on a slow link, or in the receive buffer of a paused process, makes a version
older and never younger, and no clocks are compared.
"""

import itertools
import math
from collections.abc import Iterable

from attrs import define, field
from wasabilb_core.named_versions import NamedVersions, Naming
from wasabilb_core.state_position import StatePosition
from wasabilb_wire.messages import VersionAge

# A process in touch has an answer of the platform that was requested some half a second ago, or
# hears of a version from such a process. Above this age it asks whether a peer knows a smaller one.
ASK_ABOVE_S = 1.5
# New links are asked for this time after a version was heard of, seconds; a process that was cut
# off from all is linked with its peers again within 2 s.
ASK_FOR_S = 5.0
# Ages in a message; more versions than are named within the time for which ages matter.
MAX_AGES = 16
# Messages hold ages as milliseconds in 32 bits; this one stands for any age.
MAX_AGE_MS = (1 << 32) - 1


@define(kw_only=True)
class _Heard:
    """A version that was heard of, for as long as peers may know a smaller age."""

    named_versions: NamedVersions
    version: int
    at: float
    is_asked: bool = False
    # Peers that read the platform and were asked once they had the version.
    asked_readers: set[str] = field(factory=set)

    def is_unasked(self, host: str, position: StatePosition) -> bool:
        """Return whether a reader has the version and was not asked since."""
        named_at = self.named_versions.naming(self.version).position
        return host not in self.asked_readers and named_at <= position

    def is_open(self, moment: float) -> bool:
        """Return whether a peer may know more of its age."""
        naming = self.named_versions.naming(self.version)
        # A store that came back from a copy may have lost an earlier publication.
        is_uncertain = self.at - naming.after > ASK_ABOVE_S or naming.position.era > 0
        return is_uncertain and moment - self.at < ASK_FOR_S


class VersionAges:
    """The named versions of all models, with the ages that peers know."""

    def __init__(self) -> None:
        self._models: dict[str, NamedVersions] = {}
        self._heard: list[_Heard] = []

    def named_versions(self, model: str) -> NamedVersions | None:
        """Return the named versions of a model, None before the first one."""
        found = self._models.get(model)
        return found if found is not None and found.newer_than(0) else None

    def on_named(self, model: str, version: int, naming: Naming, moment: float) -> float:
        """Record a version whose publication has arrived; return its age at most, in seconds."""
        named_versions = self._models.setdefault(model, NamedVersions())
        is_new = version not in named_versions.newer_than(version - 1)
        named_versions.on_named(version, naming)
        if is_new:
            heard = _Heard(named_versions=named_versions, version=version, at=moment)
            self._heard = [h for h in self._heard if h.is_open(moment)] + [heard]
        return moment - named_versions.naming(version).after

    def should_ask(self, moment: float) -> bool:
        """Return whether a peer may know a smaller age of a version."""
        return any(heard.is_open(moment) for heard in self._heard)

    def take_question(self, moment: float) -> bool:
        """Return whether to ask all peers now, which a process does once for each version."""
        unasked = [h for h in self._heard if not h.is_asked and h.is_open(moment)]
        for heard in unasked:
            heard.is_asked = True
        return bool(unasked)

    def take_reader(self, host: str, position: StatePosition, moment: float) -> bool:
        """Return whether to ask a peer that reads the platform, once it announces a version.

        When all peers were asked, it may not have heard of the version.
        """
        unasked = [h for h in self._heard if h.is_open(moment) and h.is_unasked(host, position)]
        for heard in unasked:
            heard.asked_readers.add(host)
        return bool(unasked)

    def to_ages(self, after: StatePosition, moment: float) -> list[VersionAge]:
        """Return the ages of the newest versions that were named after a position.

        Those of any age are told, too: without them, a process that gets only the publication of a
        newer version would count from that one.
        """
        found = [
            (naming, model, version)
            for model, named_versions in self._models.items()
            for version, naming in named_versions.namings().items()
            if naming.position > after
        ]
        newest = sorted(found, key=lambda entry: entry[0].position)[-MAX_AGES:]
        return [
            VersionAge(
                model=model,
                version=version,
                era=naming.position.era,
                revision=naming.position.revision,
                age_ms=_to_age_ms(moment - naming.after),
            )
            for naming, model, version in newest
        ]

    def on_told(self, ages: Iterable[VersionAge], requested_at: float) -> None:
        """Take over the ages in an answer to a request that was sent at a time."""
        for age in itertools.islice(ages, MAX_AGES):
            position = StatePosition(era=age.era, revision=age.revision)
            after = requested_at - age.age_ms / 1000 if age.age_ms < MAX_AGE_MS else -math.inf
            naming = Naming(position=position, after=after)
            self._models.setdefault(age.model, NamedVersions()).on_told(age.version, naming)


def _to_age_ms(age_s: float) -> int:
    return max(0, math.ceil(min(age_s * 1000, MAX_AGE_MS)))
