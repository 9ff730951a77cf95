"""What operators see: status, metrics, pages."""
