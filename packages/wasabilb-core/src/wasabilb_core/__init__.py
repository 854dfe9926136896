"""Decisions and state of wasabilb, without I/O, clocks or random sources."""
