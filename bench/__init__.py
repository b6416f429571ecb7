"""Benchmarks; each prints its command, seed (if it has one) and results."""
