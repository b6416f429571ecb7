"""Tests, one module for each module under test."""
