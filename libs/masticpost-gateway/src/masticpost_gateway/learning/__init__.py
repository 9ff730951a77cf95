"""What answers teach about versions, sessions and speeds."""
