"""Routing of a request: choice of the upstream and model, and retry limits."""
