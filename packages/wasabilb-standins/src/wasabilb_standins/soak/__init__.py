"""Soak test of the real programs with random faults: `python -m wasabilb_standins.soak`.

A seed determines a plan of faults. The programs of a fleet run as separate processes on loopback,
faults are injected from outside, and the promises are checked against the records of callers and
backend servers.
"""
