"""A demonstration run of a small system, started by `make demo`."""
