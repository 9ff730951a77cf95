"""Decisions: upstream choice, cascade, version share, admission."""

from masticpost_decide import textrules as textrules
