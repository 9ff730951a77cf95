"""Status, metrics and pages that an instance serves to operators."""
