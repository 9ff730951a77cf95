"""Orders to engines to load and unload versions, sent under a lease with fencing."""
