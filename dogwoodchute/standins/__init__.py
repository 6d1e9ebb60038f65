"""Minimal stand-ins for outside systems, used by tests, the bench and the demo."""
