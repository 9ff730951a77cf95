"""Structured logs, metrics and the service-level burn report."""
