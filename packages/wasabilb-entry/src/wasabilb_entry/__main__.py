"""Runs the program as `python -m wasabilb_entry`."""

from wasabilb_entry.cli import main

main()
