"""Steps about odd settings files in the form of the operators' platform."""

import json
import logging
import os
import tempfile
from pathlib import Path
from unittest.mock import patch

from behave import then, when
from platform_examples import SETTINGS
from wasabilb_platform.program_setup import settings_reloader

TEXT = json.dumps(SETTINGS)
CONTENTS = {
    "a list": b"[1]",
    "half of the text": TEXT[: len(TEXT) // 2].encode(),
    "a text as the ports": json.dumps({**SETTINGS, "internalPorts": "x"}).encode(),
    "no ports": json.dumps({**SETTINGS, "internalPorts": []}).encode(),
    "the port 1e999": TEXT.replace("[7700, 7715]", "[1e999]").encode(),
    "the rate null": TEXT.replace('"linkMbps": 4.7', '"linkMbps": null').encode(),
    "a list as the listener": json.dumps({**SETTINGS, "listen": [1]}).encode(),
    "a number as a seed": json.dumps({**SETTINGS, "seeds": [1]}).encode(),
    "bytes that are no text": b"\xff\xfe",
    "nesting of 100,000 levels": b"[" * 100_000,
}


@when("the settings file of the platform's process changes to {content}")
def step_settings_change(context, content):
    context.applied = []
    logging.getLogger("wasabilb_platform.program_setup").setLevel(logging.ERROR)
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "settings.json"
        reload = settings_reloader(context.applied.append)
        with patch.dict(os.environ, {"WASABILB_SETTINGS": str(path)}):
            path.write_text(TEXT)
            reload()
            path.write_bytes(CONTENTS[content])
            # Called at each heartbeat: an error would end its round.
            reload()


@then("the settings in force stay, and the heartbeat goes on")
def step_settings_stay(context):
    assert [found.node for found in context.applied] == ["front-a-1"], context.applied
