"""Routes requests to registered upstreams and passes their answers through."""
