"""Process harness, load generator, demo and benchmarks."""
