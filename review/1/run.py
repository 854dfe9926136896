"""A model runner sends a stream's body without end; other callers of the entry process wait."""

import asyncio
import subprocess
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib"))

from stand import TROUBLE, Model, Plain, main, new_id, request, stream_headers, wait_ready

RATE = 4e6  # bytes a second that the faulty runner sends: 32 Mbit/s
TIMEOUT_S = 0.8  # timeoutMs of the route of the other requests
TIME_LIMIT_S = 1.54  # of their clients
WORK_S = 0.3  # that a server works on each
WATCH_S = 20.0


async def script(fleet):
    record = fleet.record
    await fleet.start_store()
    plain = [Plain(id=f"p-{n}", service="bookings", work_s=WORK_S) for n in range(2)]
    for number, server in enumerate(plain):
        await fleet.start_server(server, 11 + number)
    entry = fleet.program("front-dublin-a-1", "entry", 1).start()
    # The only model runner: sound, or the one that sends without end.
    model = Model(id="m-1", service="models")
    if TROUBLE:
        model.address = f"{fleet.net}.13:8080"
        out = open(Path(fleet.folder.name) / "endless.log", "w+")
        fleet.children.append(
            subprocess.Popen(
                [sys.executable, str(HERE / "endless.py"), model.address, model.id, str(RATE)],
                stdout=out,
                stdin=subprocess.DEVNULL,
            )
        )
        fleet.store.write(f"servers/{model.id}", model.entry())
    else:
        await fleet.start_server(model, 13)
    await wait_ready(entry)
    await asyncio.sleep(3.5)

    results = []

    async def ask():
        # Bookings: their clients wait until their time limit.
        kind, method = "booking", "POST"
        sent = time.monotonic() - record.began
        id = new_id()
        found = await request(
            entry.front,
            method,
            f"/{kind}/1",
            id=id,
            timeout_s=TIME_LIMIT_S,
            timeout_ms=int(1000 * TIME_LIMIT_S),
            body=b"b" * 600,
        )
        took = time.monotonic() - record.began - sent
        record.line(f"{kind} {id} sent {sent:.3f}: status {found['status']} after {took:.3f} s")
        results.append((id, found["status"], took))

    async def stream():
        id, size = new_id(), [0]

        def on_data(data):
            size[0] += len(data)

        record.line(f"stream {id} sent")
        found = await request(
            entry.front,
            "POST",
            "/draft/1",
            id=id,
            timeout_s=6.06,
            timeout_ms=6060,
            headers=stream_headers(),
            body=b"p" * 670,
            on_data=on_data,
        )
        record.line(
            f"stream {id}: status {found['status']}, {size[0]} bytes, complete {found['complete']}"
        )

    tasks = [asyncio.ensure_future(ask()) for _ in range(3)]
    await asyncio.gather(*tasks)
    before = [status for _, status, _ in results]
    results.clear()
    # Work that servers run already when the answer without end begins.
    tasks = [asyncio.ensure_future(ask()) for _ in range(4)]
    await asyncio.sleep(WORK_S / 3)
    began = time.monotonic()
    streaming = asyncio.ensure_future(stream())
    while time.monotonic() - began < WATCH_S:
        tasks.append(asyncio.ensure_future(ask()))
        await asyncio.sleep(0.2)
    await asyncio.gather(streaming, *tasks)
    ready = await request(entry.ready, "GET", "/v1/readiness", id="", timeout_s=2.0)
    record.line(f"readiness at the end: {ready['status']}")
    if TROUBLE:
        out.seek(0)
        record.line("faulty runner: " + "; ".join(out.read().split("\n")))
    overdue = [r for r in results if r[2] > TIMEOUT_S]
    late = [r for r in overdue if r[2] > TIMEOUT_S + 0.5]
    ran = {run[1] for server in plain for run in server.runs}
    lost = [r for r in late if r[0] in ran]
    record.say(
        f"{len(results)} other requests; unanswered at their timeoutMs {len(overdue)}, "
        f"of these without an answer half a second later {len(late)}, {len(lost)} of which a "
        f"server had run; before: {before}"
    )
    if before != [200] * 3:
        return 2
    return 1 if len(overdue) >= 10 and len(late) > len(overdue) / 2 else 0


main(script, HERE / "record.txt")
