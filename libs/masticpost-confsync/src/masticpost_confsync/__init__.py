"""Replication of the operators' text to every instance."""
