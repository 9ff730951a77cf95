"""The masticpostd program."""
