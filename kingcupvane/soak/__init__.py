"""Soak test: injects random faults into a fleet of real processes."""
