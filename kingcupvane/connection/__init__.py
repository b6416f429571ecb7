"""Connections to callers, targets and peers."""
