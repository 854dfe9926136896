"""Command that runs stand-ins: `python -m wasabilb_standins.run NAME --port N [--SETTING V]`.

`all` starts one of each in one process, with consecutive ports from `--port`. `callers` sends load:
`python -m wasabilb_standins.run callers --entries A:P,A:P --duration_s 10 [--SETTING V]`.
"""

import asyncio
import contextlib
import json
import signal
from typing import Any

import fire
from returns.result import Failure

from wasabilb_standins import config_service, engine, host_list, link, service, store  # noqa: F401
from wasabilb_standins.base import STANDINS, Standin
from wasabilb_standins.callers import Callers


async def serve(standins: dict[str, Standin[Any, Any]]) -> None:
    """Run stand-ins until SIGTERM or SIGINT; print one JSON line for each when it listens."""
    stop_event = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop_event.set)
    async with contextlib.AsyncExitStack() as stack:
        for name, standin in standins.items():
            await standin.start()
            stack.push_async_callback(standin.stop)
            print(json.dumps({"name": name, "url": standin.url}), flush=True)
        await stop_event.wait()


async def run_callers(entries: str, duration_s: float, **settings: Any) -> None:
    """Run callers and print their summary as one JSON line."""
    callers = Callers(entries=entries.split(","), **settings)
    await callers.run(duration_s)
    print(json.dumps(callers.summary()))


def main(name: str, port: int = 0, address: str = "127.0.0.1", **settings: Any) -> None:
    """Create the stand-ins and run them."""
    if name == "callers":
        asyncio.run(run_callers(**settings))
        return
    names = STANDINS.names() if name == "all" else (name,)
    standins: dict[str, Standin[Any, Any]] = {}
    for index, standin_name in enumerate(names):
        own_port = port + index if port else 0
        result = STANDINS.create(standin_name, address=address, port=own_port, **settings)
        if isinstance(result, Failure):
            raise SystemExit(result.failure().detail)
        standins[standin_name] = result.unwrap()
    asyncio.run(serve(standins))


if __name__ == "__main__":
    fire.Fire(main)
