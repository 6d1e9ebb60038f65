"""Copies of the store's tables, and where a host gets them from."""
