"""Fakes of the external systems: most run as a process, some inside the test."""
