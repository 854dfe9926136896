"""Command line of `wasabilb-agent`."""

import importlib
import sys
from collections.abc import Sequence

from wasabilb_core.settings import AgentSettings
from wasabilb_node.commands import Program
from wasabilb_node.input_files import load_settings


def agent(*, settings: str) -> None:
    """Run the agent beside the backend server of this host until SIGTERM or SIGINT.

    Parameters
    ----------
    settings : FILE
        TOML file with the settings of an agent.
    """
    loaded = load_settings(settings, AgentSettings)
    importlib.import_module("wasabilb_agent.process").run(loaded)


PROGRAM = Program(name="wasabilb-agent", summary="Runs the agent.", commands={"": agent})


def main(argv: Sequence[str] | None = None) -> None:
    """Run the program and exit with its status."""
    sys.exit(PROGRAM.run(sys.argv[1:] if argv is None else argv))
