"""Connections to upstreams, and the health and availability of upstreams."""
