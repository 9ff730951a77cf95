"""Stand-ins for external systems, used in tests, benchmarks and demos."""
