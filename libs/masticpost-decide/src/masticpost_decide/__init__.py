"""Decisions: upstream choice, cascade, version share, admission."""
