"""Keyed shards: claims, bills, session pins, permits and quarantine."""
