"""The `masticpostd` daemon."""
