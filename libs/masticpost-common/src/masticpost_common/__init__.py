"""Types, errors, codec, registries and the retry policy that every library shares."""
