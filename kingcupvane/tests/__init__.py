"""Tests: one module per tested module, and scenarios on real processes."""
