"""Decisions on which requests are delayed or rejected while capacity is short."""
