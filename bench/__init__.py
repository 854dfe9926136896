"""Benchmarks and simulations; each module is one command with a seed."""
