"""A guided run of a small system: `make demo`."""
