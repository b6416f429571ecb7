"""Benchmarks; each prints its command, its seed and its results."""
