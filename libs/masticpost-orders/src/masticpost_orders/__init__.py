"""Orders to engines under one lease with fencing numbers."""
