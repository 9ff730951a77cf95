"""Authenticated messages between instances and their membership."""
