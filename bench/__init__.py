"""Measurements: each prints a table, its command and its seed."""
