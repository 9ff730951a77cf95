"""What this instance is told by the store, how new and how old it is."""
