"""The masticpost operators' tool."""
