"""The test suite."""
