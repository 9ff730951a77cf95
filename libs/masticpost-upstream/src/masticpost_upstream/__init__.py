"""Clients of model engines, plain services and the rating service."""
