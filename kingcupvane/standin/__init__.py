"""Test doubles for the platform, targets and network links.

The daemon itself never uses them.
"""
