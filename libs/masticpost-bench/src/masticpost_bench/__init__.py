"""Process harness, load tool, demo and measurements."""
