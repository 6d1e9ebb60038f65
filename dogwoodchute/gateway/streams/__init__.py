"""Streams that go on at another endpoint: their records, origins and versions."""
