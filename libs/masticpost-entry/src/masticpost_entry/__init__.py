"""Caller-side HTTP: chat completions and plain services."""
