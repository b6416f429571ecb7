"""Global traffic steering: coordination parts and the daemons over them."""

__version__ = "0.1.0"
