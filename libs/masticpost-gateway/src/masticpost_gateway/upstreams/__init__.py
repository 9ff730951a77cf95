"""Connections to upstreams, and what their answers tell of them."""
