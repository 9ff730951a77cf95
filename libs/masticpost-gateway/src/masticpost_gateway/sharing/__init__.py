"""Exchange of state between the instances of one deployment."""
