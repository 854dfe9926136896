"""Model of a store that comes back from copies, and of processes that follow it."""

import asyncio
import logging
import math
import random
from unittest.mock import patch

from hypothesis import strategies as st
from published_fleet import Decoder, Platform
from returns.result import Failure, Success
from wasabilb_core import runner_directory as directory_module
from wasabilb_core.published import PublishedState
from wasabilb_core.runner_directory import ENTRY_LASTS_S, EXPIRY_GRACE_S
from wasabilb_core.runner_presence import PresenceState
from wasabilb_core.state_position import START, StatePosition
from wasabilb_node import published_reader as reader_module
from wasabilb_node import published_view as view_module
from wasabilb_node.decoded_items import DecodedItems
from wasabilb_node.item_compression import ItemPacker, unpack
from wasabilb_node.logs import EventLog
from wasabilb_node.published_batches import to_batches
from wasabilb_node.published_reader import PublishedReader
from wasabilb_node.published_source import Changes, PublishedSource, Snapshot
from wasabilb_node.published_view import PublishedView

READERS, OTHERS = 2, 2
RUNNERS = ("x", "y")
# Small enough that most lists take several messages.
MAX_BATCH_BYTES = 24
# Time between two events, seconds; far less than all that expires.
EVENT_S = 0.01


class Process:
    """A process: the real state, view and reader, with answers and messages under way."""

    def __init__(self):
        logger = logging.Logger("model", level=logging.CRITICAL)
        log = EventLog(
            process="t", role="entry", host="t", failure_domain="a", incarnation="1", logger=logger
        )
        decoded = DecodedItems(decoder=Decoder())
        self.state = PublishedState(content_version=decoded.content_version)
        self.view = PublishedView(items=self.state, decoder=decoded, log=log)
        source = PublishedSource(snapshot=self.take_answer, changes=self.take_answer)
        self.reader = PublishedReader(state=self.state, source=source, rng=random.Random(1))
        self.packer, self.answers, self.inbox = ItemPacker(), [], []
        # The newest that was served, and the incarnations of runners that were known to leave.
        self.newest, self.newest_position, self.last_born, self.left = {}, START, {}, set()

    async def take_answer(self, after=None):
        _, answer = self.answers.pop(0)
        is_expected = isinstance(answer, Snapshot if after is None else Changes)
        return Success(answer) if is_expected else Failure(None)

    def read(self):
        """Merge the first answer under way, which the store gave when it was requested."""
        before = self.state.position
        with patch.object(reader_module, "now", lambda: self.answers[0][0]):
            result = asyncio.run(self.reader.read())
        if isinstance(result, Success):
            if before.is_start or self.state.position.era > before.era:
                self.view.on_era_began()
            self.view.apply_items(result.unwrap().changed)

    def receive(self):
        """Merge the first message under way."""
        message = self.inbox.pop(0)
        if message.distrust_ms:
            self.view.on_removal_distrust(message.distrust_ms / 1000)
        self.view.version_ages.on_told(message.ages, message.sent_ms / 1000)
        changed = self.state.on_changes(
            [unpack(item) for item in message.items],
            after=StatePosition(era=message.after_era, revision=message.after),
            position=StatePosition(era=message.era, revision=message.revision),
            is_last=message.is_last,
        )
        self.view.apply_items(changed)

    def served(self):
        """Return the versions that requests are handled by."""
        named = self.view.named_versions("m")
        catalog = self.view.catalog
        return {
            "routes": catalog.version if catalog is not None else 0,
            "weights": max(named.newer_than(0), default=0) if named is not None else 0,
        }

    def known(self):
        """Return the content of all existing items."""
        items, _ = self.state.changes_after(START)
        return {item.name: item.body for item in items if item.body is not None}


class History:
    """Writers, a store, readers of it, and processes that ask each other, in any order."""

    def __init__(self):
        self.moment = 100.0
        self.platform = Platform()
        self.platform.era = 1
        self.written = {"routes": 0, "weights": 0}
        # When versions of the weights were published, by the items, and by where they were read.
        self.publications, self.published_at = [], {}
        # Start and state of each runner.
        self.runners = {name: (0, "gone") for name in RUNNERS}
        self.unwritten = set()
        self.processes = [Process() for _ in range(READERS + OTHERS)]
        for name in self.written:
            self.operator_writes(name)

    def play(self, events):
        """Apply events, then let everything be written and heard again, and check the outcome."""
        with patch.object(view_module, "now", lambda: self.moment):
            # An entry lasts until the store removes it; here that needs an event, and no time.
            with patch.object(directory_module, "ENTRY_LASTS_S", math.inf):
                for kind, *values in events:
                    self.moment += EVENT_S
                    getattr(self, kind)(*values)
                    for process in self.processes:
                        self.check(process)
            self.settle()
            for process in self.processes:
                self.check(process)
                self.check_newest(process)

    def operator_writes(self, name):
        self.written[name] += 1
        self.publish(name)

    def operator_errs(self, body):
        self.platform.publish("routes", body)
        self.unwritten.add("routes")

    def runner_changes(self, name):
        born, how = self.runners[name]
        following = {"gone": "ready", "ready": "draining", "draining": "gone"}[how]
        self.runners[name] = (born + (how == "gone"), following)
        self.publish(name)

    def runner_restarts(self, name):
        self.runners[name] = (self.runners[name][0] + 1, "ready")
        self.publish(name)

    def publish(self, name):
        """Write what an item's writer has to say; the store may come back without it."""
        self.platform.copy()
        self.unwritten.discard(name)
        if name in self.written:
            kind = b"catalog" if name == "routes" else b"weights"
            self.platform.publish(name, b"%s %d" % (kind, self.written[name]))
            self.publications.append((self.platform.items[name], self.moment))
            return
        born, how = self.runners[name]
        words = {"ready": f"runner {name} {born}", "draining": f"draining {name} {born}"}
        body = words[how].encode() if how != "gone" else None
        self.platform.publish(f"runner/{name}", body)

    def store_comes_back(self, lost):
        """Come back without the last writes, all of which are written again later."""
        copies = self.platform.copies
        del copies[max(1, len(copies) - lost) :]
        self.platform.restore()
        self.unwritten |= {*self.written, *RUNNERS}

    def written_again(self, number):
        if self.unwritten:
            self.publish(sorted(self.unwritten)[number % len(self.unwritten)])

    def catch_up(self, number):
        """Let a reader read, or another process ask one, and hear all of the answer."""
        process, reader = self.processes[number], self.processes[number % READERS]
        if process is reader:
            for _ in range(2):
                self.store_answers(number)
                self.answer_arrives(number, len(process.answers) - 1)
            return
        if reader.state.position > process.state.position:
            process.inbox += self.to_batches(process, reader)
            while process.inbox:
                process.receive()

    def all_catch_up(self):
        for number in range(len(self.processes)):
            self.catch_up(number)

    def store_answers(self, number, is_stale=False):
        """Let the store answer a reader's next call; a stale answer has no era."""
        process, platform = self.processes[number], self.platform
        era = None if is_stale else platform.era
        if process.reader.needs_snapshot:
            listed = [item for item in platform.items.values() if item.body is not None]
            found = Snapshot(items=platform.in_era(listed), revision=platform.revision, era=era)
        else:
            after = process.state.position.revision
            new = [item for item in platform.items.values() if item.revision > after]
            is_lost = after > platform.revision
            found = Changes(
                items=() if is_lost else platform.in_era(new),
                revision=after if is_lost else platform.revision,
                is_history_lost=is_lost,
                era=era,
            )
        process.answers.append((self.moment, found))
        for item, at in self.publications:
            if platform.items.get(item.name) is item:
                self.published_at[StatePosition(era=platform.era, revision=item.revision)] = at

    def answer_arrives(self, number, overtaken):
        process = self.processes[number]
        if process.answers:
            process.answers.insert(0, process.answers.pop(overtaken % len(process.answers)))
            process.read()

    def to_batches(self, process, asked):
        return to_batches(
            asked.state,
            process.state.position,
            packer=asked.packer,
            distrust_ms=round(asked.view.removal_distrust_s() * 1000),
            ages=asked.view.version_ages.to_ages(process.state.position, self.moment),
            sent_ms=int(self.moment * 1000),
            max_bytes=MAX_BATCH_BYTES,
        )

    def peer_asks(self, number, other):
        process, asked = self.processes[number], self.processes[other]
        if asked.state.position > process.state.position:
            process.inbox += self.to_batches(process, asked)

    def message_arrives(self, number, effect):
        process = self.processes[number]
        if effect == "lost":
            # A link that breaks loses all that is under way.
            process.inbox.clear()
        if process.inbox:
            if effect == "doubled":
                process.inbox.append(process.inbox[0])
            process.receive()

    def process_restarts(self, number):
        self.processes[number] = Process()

    def grace_ends(self):
        self.moment += EXPIRY_GRACE_S + 0.1
        for process in self.processes:
            process.view.expire_runners()

    def settle(self):
        """Write everything again and let everyone hear of it."""
        for name in sorted(self.unwritten):
            self.publish(name)
        for process in self.processes:
            process.answers.clear()
            process.inbox.clear()
        until = self.moment + 2 * ENTRY_LASTS_S
        while self.moment < until:
            self.all_catch_up()
            self.grace_ends()

    def check_newest(self, process):
        assert process.served() == self.written, (process.served(), self.written)
        assert process.known() == self.processes[0].known()
        used = {r.id: r.born_ms for r in process.view.directory.routable("s")}
        alive = {name: born for name, (born, how) in self.runners.items() if how == "ready"}
        assert used == alive, (used, alive)

    def check(self, process):
        """Check that nothing that a process has served by or known goes back."""
        served = process.served()
        for name, version in process.newest.items():
            assert served[name] >= version, (name, served, process.newest)
        process.newest = served
        # What it passes on is what it serves by.
        known = process.known()
        for name, kind in (("routes", "catalog"), ("weights", "weights")):
            content = known.get(name, b"%s 0" % kind.encode()).decode()
            assert served[name] == 0 or content == f"{kind} {served[name]}", (content, served)
        named = process.view.named_versions("m")
        for version in named.newer_than(0) if named is not None else ():
            naming = named.naming(version)
            assert naming.after <= self.published_at[naming.position], (version, naming)
        assert process.state.position >= process.newest_position
        process.newest_position = process.state.position
        for name, (born, how) in self.runners.items():
            runner = process.view.directory.get(name)
            state = process.view.directory.state(name)
            if runner is not None:
                process.last_born[name] = runner.born_ms
                assert not state.may_receive or (name, runner.born_ms) not in process.left, name
            last_born = process.last_born.get(name)
            is_alive = last_born is None or (last_born == born and how == "ready")
            if not is_alive and (state.is_leaving or state is PresenceState.GONE):
                process.left.add((name, last_born))


def _events():
    process, reader = st.integers(0, READERS + OTHERS - 1), st.integers(0, READERS - 1)
    item, name = st.sampled_from(["routes", "weights"]), st.sampled_from(RUNNERS)
    prompt = st.sampled_from([False] * 5 + [True])
    effect = st.sampled_from(["arrives"] * 4 + ["lost", "doubled"])
    weighted = [
        (3, "operator_writes", item),
        (1, "operator_errs", st.sampled_from([b"odd", b""])),
        (4, "runner_changes", name),
        (1, "runner_restarts", name),
        (3, "store_comes_back", st.integers(0, 6)),
        (3, "written_again", st.integers(0, 9)),
        (5, "catch_up", process),
        (2, "all_catch_up"),
        (3, "store_answers", reader, prompt),
        (3, "answer_arrives", reader, st.integers(0, 1)),
        (3, "peer_asks", process, process),
        (6, "message_arrives", process, effect),
        (1, "process_restarts", process),
        (1, "grace_ends"),
    ]
    return st.one_of(
        [
            st.tuples(st.just(kind), *values)
            for weight, kind, *values in weighted
            for _ in range(weight)
        ]
    )


EVENTS = _events()
