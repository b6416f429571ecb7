"""Connections to callers, targets and peers.

The package holds what lives as long as one connection.
"""
