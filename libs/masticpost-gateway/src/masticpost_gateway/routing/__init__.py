"""Which upstream and which model a request is sent to, and how often."""
