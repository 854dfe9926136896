"""A runner on loopback that answers each request according to a script."""

import asyncio
import re
import socket
import struct

EVENTS = [f'id: {n}\ndata: {{"tokens":"t{n}"}}\n\n'.encode() for n in range(1, 6)]
BODY = b"the whole body"
LEAVING_SUFFIX = " while leaving"
LIMIT_SUFFIX = " while naming a limit of "
REFUSAL_HEADERS = b"Not-Run: 1\r\nRequest-Id: %s\r\n%sContent-Length: 0\r\n\r\n"
REFUSALS = {
    "refuse as full": b"HTTP/1.1 503 Busy\r\n" + REFUSAL_HEADERS,
    "refuse as too many": b"HTTP/1.1 429 Too Many Requests\r\n" + REFUSAL_HEADERS,
    "refuse as another runner": b"HTTP/1.1 421 Misdirected\r\n" + REFUSAL_HEADERS,
}


def chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


def reset(writer):
    """End a connection with a TCP reset."""
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


OTHER_ANSWER = b"HTTP/1.1 200 OK\r\nRequest-Id: other\r\nSeal: s\r\n"
FLOOD_BLOCK = b"x" * 65536
# Bytes that a runner sends first, and those that it then repeats until the connection closes.
FLOODS = {
    "send a body without end": (b"START\r\n", FLOOD_BLOCK),
    "send chunks without end": (b"STARTTransfer-Encoding: chunked\r\n\r\n", chunk(FLOOD_BLOCK)),
    "send a header without end": (b"STARTX: ", FLOOD_BLOCK),
    "send headers without end": (b"START", b"X: y\r\n" * 8192),
    "send interim answers without end": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 2048),
    "send other answers without end": (b"", (OTHER_ANSWER + b"Content-Length: 0\r\n\r\n") * 1024),
    "send another body without end": (OTHER_ANSWER + b"\r\n", FLOOD_BLOCK),
    "send an event without end": (b"STARTTransfer-Encoding: chunked\r\n\r\n", chunk(FLOOD_BLOCK)),
    "send noise without end": (b"", FLOOD_BLOCK),
}


# Behaviours that begin after a delay, seconds, and how they go on.
LATE_ACTIONS = {
    "answer late": (1.6, "answer"),
    "answer after 0.8 s": (0.8, "answer"),
    "answer after 1.1 s": (1.1, "answer"),
    "refuse late": (0.4, "refuse as full"),
}
# Time after its second event at which a runner breaks off, seconds.
BREAK_DELAYS_S = {"reset 1.2 s after two events": 1.2}
# What a runner sends before it closes the connection, without a whole head.
NO_ANSWERS = {"wait without an answer": b"", "stop within the head": b"STARTContent-Le"}
# Headers and bodies of successful answers that are no event streams.
OTHER_BODIES = {
    "answer with a page": (b"Content-Type: text/html\r\n", b"<p>one</p>\n\n<p>two</p>\n\n"),
    "answer with an object": (b"Content-Type: application/json\r\n", b'{"tokens":"t1"}\n\n'),
    "answer with an empty body": (b"", b""),
    "answer with an empty object": (b"Content-Type: application/json\r\n", b""),
}


# Pauses after the second event of a stream.
STREAM_PAUSES_S = {
    "answer with a pause": 0.3,
    "answer after a silence": 1.6,
    "answer after a short silence": 1.35,
}


class ChunkWriter:
    """Writer that sends each part as an HTTP chunk."""

    def __init__(self, writer):
        self.writer, self.drain = writer, writer.drain

    def write(self, data):
        self.writer.write(chunk(data))


class ScriptedRunner:
    """Runner that uses one behaviour for each request, and the last one for all further requests.

    After a behaviour that ends in `LEAVING_SUFFIX`, this answer and all later ones announce that it
    leaves, and `late_requests` counts the requests that arrive afterwards. With `LIMIT_SUFFIX` and
    a number, an answer names a limit.
    """

    def __init__(self, behaviours):
        self.behaviours = list(behaviours)
        self.requests, self.run_count, self.closed_at = [], 0, None
        self.last_answers, self.last_refusals, self.flooded_bytes = {}, {}, 0
        self.is_leaving, self.late_requests = False, 0
        # Open connections, now and at the last call of `ForwardingHarness.settle`.
        self.open_connections = self.connections_at_end = 0
        # Arrival times of requests; time and length of each pause that a refusal named.
        self.arrivals, self.pauses = [], []
        # Time, limit and request of each answer that names a limit.
        self.named_limits = []
        self.server = self.address = None
        self.writers = []

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"
        return self.address

    async def stop(self):
        self.server.close()
        for writer in self.writers:
            writer.close()
        # Lets handlers of open connections end with their own error.
        await asyncio.sleep(0.01)

    async def serve(self, reader, writer):
        self.writers.append(writer)
        self.open_connections += 1
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                length = re.search(r"(?im)^content-length: (\d+)", head)
                if length:
                    await reader.readexactly(int(length[1]))
                self.requests.append(head)
                self.late_requests += self.is_leaving
                self.arrivals.append(asyncio.get_running_loop().time())
                action = self.behaviours.pop(0) if len(self.behaviours) > 1 else self.behaviours[0]
                if not await self.answer(action, head, reader, writer):
                    return
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.closed_at = asyncio.get_running_loop().time()
            self.open_connections -= 1
            writer.close()

    async def answer(self, action, head, reader, writer):
        """Answer one request; return False to end the connection."""
        request_id = re.search(r"(?im)^request-id: (\S+)", head)[1]
        action, notes = self.notes(action, request_id)
        delay_s, action = LATE_ACTIONS.get(action, (0.0, action))
        await asyncio.sleep(delay_s)
        last_event = re.search(r"(?im)^last-event-id: (\d+)", head)
        events = EVENTS[int(last_event[1]) if last_event else 0 :]
        seal = b"" if action == "answer without a seal" else b"Seal: s\r\n"
        start = b"HTTP/1.1 200 OK\r\nRequest-Id: %s\r\n%s" % (request_id.encode(), seal + notes)
        is_stream = head.startswith("POST /stream/")
        if action == "repeat the refusal before and answer":
            writer.write(self.last_refusals.get(writer, b""))
        if action.startswith("refuse "):
            return await self.refuse(action, request_id.encode(), notes, writer)
        if action in NO_ANSWERS:
            writer.write(NO_ANSWERS[action].replace(b"START", start))
            await writer.drain()
            if action == "wait without an answer":
                await reader.read(1)
            return False
        self.run_count += 1
        if is_stream and action not in (*OTHER_BODIES, *FLOODS, "fail with status 500"):
            if action == "reset without an answer":
                reset(writer)
                return False
            start += b"Content-Type: text/event-stream\r\n"
            return await self.stream(action, start, events, reader, writer)
        return await self.answer_whole(action, start, request_id, writer)

    async def answer_whole(self, action, start, request_id, writer):
        """Answer a request that may have run with one body."""
        if action == "reset without an answer":
            reset(writer)
            return False
        if action == "fail with status 500":
            writer.write(start.replace(b"200 OK", b"500 Bad") + b"Content-Length: 3\r\n\r\nbad")
            return True
        if action in OTHER_BODIES:
            headers, body = OTHER_BODIES[action]
            writer.write(start + headers + b"Content-Length: %d\r\n\r\n%s" % (len(body), body))
            return True
        if action in FLOODS:
            return await self.flood(FLOODS[action], start, writer)
        if action == "trickle a body":
            writer.write(start + b"Content-Length: 500\r\n\r\n")
            return await self.trickle(b"x" * 499, writer)
        if action == "break off in the body":
            writer.write(start + b"Content-Length: 50\r\n\r\nhalf")
            await writer.drain()
            return False
        if action == "answer without a length":
            writer.write(start + b"\r\n" + BODY)
            await writer.drain()
            return False
        if action == "answer late":
            await asyncio.sleep(1.6)
        body = BODY + request_id.encode()
        answer_bytes = start + b"Content-Length: %d\r\n\r\n%s" % (len(body), body)
        previous = self.last_answers.get(writer)
        if action.startswith("repeat the answer before") and previous:
            unnamed = re.sub(rb"Request-Id: \S+\r\n", b"", previous)
            writer.write(unnamed if action.endswith("without its identifier") else previous)
        self.last_answers[writer] = answer_bytes
        writer.write(answer_bytes * (2 if action == "answer twice" else 1))
        return True

    def notes(self, action, request_id):
        """Return the action without its suffixes, and the headers that these add to the answer."""
        if action.endswith(LEAVING_SUFFIX):
            action, self.is_leaving = action.removesuffix(LEAVING_SUFFIX), True
        notes = b"Leaving: 1\r\n" if self.is_leaving else b""
        action, _, limit = action.partition(LIMIT_SUFFIX)
        if limit:
            notes += b"Limit: %s\r\n" % limit.encode()
            self.named_limits.append((asyncio.get_running_loop().time(), limit, request_id))
        return action, notes

    async def flood(self, block, start, writer):
        """Send invalid bytes until the connection closes."""
        head, part = block
        writer.write(head.replace(b"START", start))
        while True:
            writer.write(part)
            await writer.drain()
            self.flooded_bytes += len(part)

    async def refuse(self, action, request_id, notes, writer):
        """Refuse a request, with the pause that the behaviour names, if any."""
        if action in REFUSALS:
            self.last_refusals[writer] = REFUSALS[action] % (request_id, notes)
            writer.write(self.last_refusals[writer])
            return True
        seconds, has_slow_body = action.split()[3], "slow body" in action
        self.pauses.append((asyncio.get_running_loop().time(), float(seconds)))
        writer.write(
            b"HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nRequest-Id: %s\r\n%sRetry-After: %s\r\n"
            b"Content-Length: %d\r\n\r\n"
            % (request_id, notes, seconds.encode(), 12 if has_slow_body else 0)
        )
        if has_slow_body:
            await self.trickle(b"x" * 12, writer)
        return True

    async def trickle(self, data, writer):
        for n in range(len(data)):
            writer.write(data[n : n + 1])
            await writer.drain()
            await asyncio.sleep(0.1)
        return False

    async def stream(self, action, start, events, reader, writer):
        if "without a length" in action:
            writer.write(start + b"\r\n" + b"".join(events[:2]))
            await writer.drain()
            await asyncio.sleep(0.02)
            if action.startswith("reset"):
                reset(writer)
            else:
                writer.write(b"".join(events[2:]))
                await writer.drain()
            return False
        writer.write(start + b"Transfer-Encoding: chunked\r\n\r\n")
        if action == "answer slowly":
            for event in events:
                for half in (event[:9], event[9:]):
                    await asyncio.sleep(0.25)
                    writer.write(chunk(half))
                    await writer.drain()
            writer.write(b"0\r\n\r\n")
            return True
        if action == "trickle an event":
            writer.write(b"".join(chunk(event) for event in events[:2]))
            return await self.trickle(b"x" * 499, ChunkWriter(writer))
        if action == "answer":
            writer.write(b"".join(chunk(event) for event in events) + b"0\r\n\r\n")
            return True
        writer.write(b"".join(chunk(event) for event in events[:2]))
        if action in STREAM_PAUSES_S:
            await writer.drain()
            await asyncio.sleep(STREAM_PAUSES_S[action])
            writer.write(b"".join(chunk(event) for event in events[2:]) + b"0\r\n\r\n")
            return True
        if action == "break off within an event":
            writer.write(chunk(events[2][:7]))
        await writer.drain()
        await asyncio.sleep(BREAK_DELAYS_S.get(action, 0.02))
        if action == "send two events and fall silent":
            await reader.read(1)
            return False
        reset(writer)
        return False
