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
TIMEOUT_S = 0.8  # timeoutMs of the routes of the other requests
WATCH_S = 20.0


async def script(fleet):
    record = fleet.record
    await fleet.start_store()
    plain = [Plain(id=f"p-{n}", service="bookings") for n in range(2)]
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

    async def ask(kind):
        sent = time.monotonic() - record.began
        id = new_id()
        method = "GET" if kind == "lookup" else "POST"
        found = await request(
            entry.front,
            method,
            f"/{kind}/1",
            id=id,
            timeout_s=TIMEOUT_S + 0.5,
            timeout_ms=1528,
            body=b"" if method == "GET" else b"b" * 600,
        )
        took = time.monotonic() - record.began - sent
        record.line(f"{kind} {id} sent {sent:.3f}: status {found['status']} after {took:.3f} s")
        results.append((sent, found["status"], took))

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

    tasks = [asyncio.ensure_future(ask("lookup")) for _ in range(3)]
    await asyncio.gather(*tasks)
    before = [status for _, status, _ in results]
    results.clear()
    began = time.monotonic()
    streaming = asyncio.ensure_future(stream())
    tasks = []
    while time.monotonic() - began < WATCH_S:
        tasks.append(asyncio.ensure_future(ask("lookup")))
        tasks.append(asyncio.ensure_future(ask("booking")))
        await asyncio.sleep(0.2)
    await asyncio.gather(streaming, *tasks)
    ready = await request(entry.ready, "GET", "/v1/readiness", id="", timeout_s=2.0)
    record.line(f"readiness at the end: {ready['status']}")
    if TROUBLE:
        out.seek(0)
        record.line("faulty runner: " + "; ".join(out.read().split("\n")))
    late = [r for r in results if not r[1] and r[2] >= TIMEOUT_S + 0.45]
    overdue = [r for r in results if r[2] > TIMEOUT_S]
    record.say(
        f"{len(results)} other requests; unanswered at their timeoutMs {len(overdue)}, "
        f"of these without an answer half a second later {len(late)}; before: {before}"
    )
    if before != [200] * 3:
        return 2
    return 1 if len(overdue) >= 10 and len(late) > len(overdue) / 2 else 0


main(script, HERE)
