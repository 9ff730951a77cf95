"""Decisions on which requests are rejected or yield while capacity is short."""
