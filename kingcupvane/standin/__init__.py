"""Stand-ins for the platform and for targets; never used by the daemon."""
