"""Cached records of the store, how complete they are and how fresh."""
