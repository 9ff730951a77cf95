"""What a request passes, from its admission to the end of its answer."""
