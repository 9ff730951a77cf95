"""Routes requests to registered upstreams and passes their responses through."""
