"""Integration tests, which run the daemons as separate processes."""
