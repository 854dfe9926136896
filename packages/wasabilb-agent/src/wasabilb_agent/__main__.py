"""Entry point of `python -m wasabilb_agent`."""

from wasabilb_agent.cli import main

main()
