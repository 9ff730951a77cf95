"""Spreading the operators' text to every instance."""
