"""A randomized fault soak of the real programs: `python -m wasabilb_standins.soak`.

A seed draws a plan of faults. The fleet's programs run as separate processes on loopback, the
faults are injected from outside them, and the promises are checked from what callers and backend
servers see.
"""
