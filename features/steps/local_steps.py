"""Steps about the local fleet on which operators try the commands of the pages."""

import json
import signal
import subprocess
import sys
import tempfile
import time
import urllib.request
from pathlib import Path

import psutil
from behave import then, when

LOG_LIMIT_S, STOP_LIMIT_S = 20.0, 20.0


@when("the fleet for trials is started")
def step_start(context):
    folder = Path(tempfile.mkdtemp())
    command = [sys.executable, "-m", "wasabilb_standins.local", f"--folder={folder}"]
    context.process = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
    context.add_cleanup(context.process.kill)
    lines = []
    for line in context.process.stdout:
        lines.append(line.rstrip("\n"))
        if line.startswith("ready:"):
            break
    context.printed = dict(line.split("=", 1) for line in lines if "=" in line)
    context.child_processes = psutil.Process(context.process.pid).children()


@then("it has printed the addresses of all parts")
def step_printed(context):
    expected = {"config_url", "store_url", "account_key", "folder", "portal_1_pid"}
    expected |= {f"entry_{n}_{kind}" for n in (1, 2, 3) for kind in ("callers", "admin")}
    assert expected <= set(context.printed), context.printed


@when("its configuration service {state}")
def step_fault(context, state):
    fault = {"down": "503"} if state == "fails" else {"reset": True}
    url = f"{context.printed['config_url']}/fault"
    with urllib.request.urlopen(url, data=json.dumps(fault).encode()) as answer:
        assert answer.status == 200


@then('"{host}" logs "{event}"')
def step_logs(context, host, event):
    log = Path(context.printed["folder"]) / f"{host}.log"
    limit = time.monotonic() + LOG_LIMIT_S
    while f"event={event}" not in log.read_text(encoding="utf-8"):
        assert time.monotonic() < limit, f"{host} has not logged {event} within {LOG_LIMIT_S} s"
        time.sleep(0.1)


@when("the fleet for trials gets SIGTERM")
def step_stop(context):
    context.process.send_signal(signal.SIGTERM)
    context.status = context.process.wait(STOP_LIMIT_S)
    context.process.stdout.close()


@then("none of its processes is left")
def step_none_left(context):
    assert len(context.child_processes) == 12 and context.status == 0
    assert not any(process.is_running() for process in context.child_processes)
