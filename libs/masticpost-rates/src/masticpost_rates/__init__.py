"""Rates that upstreams name, kept by all instances together."""
