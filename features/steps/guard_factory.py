"""Guard of an entry process without peers, for steps about model requests."""

import random
from types import SimpleNamespace

from wasabilb_core.crashing_parts import CrashingParts
from wasabilb_entry.crash_exchange import CrashExchange
from wasabilb_entry.prompt_guard import PromptGuard


def make_guard(log):
    """Return a guard that tells nobody what it learns."""
    links = SimpleNamespace(
        set_handler=lambda *_, **__: None,
        on_link_up=[],
        peers=lambda role="": [],
        multicast=lambda message, peers: None,
    )
    parts = CrashingParts()
    exchange = CrashExchange(
        parts=parts,
        links=links,
        has_full_mesh=lambda: True,
        is_relay=lambda: False,
        log=log,
        rng=random.Random(1),
    )
    return PromptGuard(parts=parts, exchange=exchange, log=log)
