"""A runner that ends when it begins an answer on a certain part of a prompt, and comes back."""

import asyncio
import re

from scripted_runner import EVENTS, ScriptedRunner, chunk, reset

BAD_PART = 0xBAD
BAD_TARGET = "/deadly"
# Time from the head of an answer until the runner ends on it, and between two events, seconds.
CRASH_DELAY_S = 0.05
EVENT_INTERVAL_S = 0.03


def parts_of(head):
    """Return the parts in the head of a request that other requests may share."""
    text = re.search(r"(?im)^parts: (\S+)", head)
    return [int(part, 16) for part in text[1].split(",")[:-1]] if text else []


class CrashingRunner(ScriptedRunner):
    """Streams events for each request, and ends shortly after the head on one with a bad part.

    Parameters
    ----------
    down_s : float
        Time until it is back, as another incarnation with another identifier.
    on_ended, on_back : callable
        Called with the runner when it has ended and when it is back.
    bad_parts : tuple of int
        Parts under which it ends.
    is_plain : bool
        Whether it sends an answer only once it is whole.

    It also ends on each request with `BAD_TARGET` in its path.
    """

    def __init__(self, number, *, down_s, on_ended, on_back, bad_parts=(BAD_PART,), is_plain=False):
        super().__init__(["answer"])
        self.number, self.generation = number, 0
        self.down_s, self.on_ended, self.on_back = down_s, on_ended, on_back
        self.bad_parts, self.is_plain = bad_parts, is_plain
        self.is_up, self.bad_arrivals, self.crashed_at = True, [], []

    @property
    def id(self):
        return f"r-{self.number}-{self.generation}"

    async def answer(self, action, head, reader, writer):
        loop = asyncio.get_running_loop()
        is_bad = bool(set(self.bad_parts) & set(parts_of(head)))
        is_bad = is_bad or BAD_TARGET in head.partition("\r\n")[0]
        if is_bad:
            self.bad_arrivals.append(loop.time())
        generation = self.generation
        request_id = re.search(r"(?im)^request-id: (\S+)", head)[1].encode()
        last_event = re.search(r"(?im)^last-event-id: (\d+)", head)
        start = b"HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nSeal: s\r\n" % request_id
        if not self.is_plain:
            writer.write(start + b"Transfer-Encoding: chunked\r\n\r\n")
        await asyncio.sleep(CRASH_DELAY_S)
        if is_bad and self.is_up and generation == self.generation:
            self.crash()
        if self.is_plain:
            if self.is_up and generation == self.generation:
                writer.write(start + b"Content-Length: 2\r\n\r\nok")
            return self.is_up and generation == self.generation
        for event in EVENTS[int(last_event[1]) if last_event else 0 :]:
            if not self.is_up or generation != self.generation:
                return False
            writer.write(chunk(event))
            await asyncio.sleep(EVENT_INTERVAL_S)
        writer.write(b"0\r\n\r\n")
        return True

    def crash(self):
        """End: reset all connections and refuse new ones for a while."""
        loop = asyncio.get_running_loop()
        self.is_up = False
        self.crashed_at.append(loop.time())
        self.server.close()
        for writer in self.writers:
            if not writer.transport.is_closing():
                reset(writer)
        self.writers.clear()
        self.on_ended(self)
        self.restarting = loop.create_task(self.restart())

    async def restart(self):
        await asyncio.sleep(self.down_s)
        port = int(self.address.rpartition(":")[2])
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", port)
        self.generation += 1
        self.is_up = True
        self.on_back(self)
