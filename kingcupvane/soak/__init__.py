"""Random faults against real processes, by seed."""
