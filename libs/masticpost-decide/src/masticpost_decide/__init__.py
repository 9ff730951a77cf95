"""Decisions: upstream choice, cascade, version share, admission."""

from masticpost_decide import names as names
