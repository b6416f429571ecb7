"""Global traffic steering by entry and gateway daemons."""

__version__ = "0.1.0"
