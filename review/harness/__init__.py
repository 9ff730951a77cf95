"""Shared parts of the review's scripts: processes under test, stand-ins, records."""
