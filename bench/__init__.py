"""Benchmarks: one module for each area, one line of key=value pairs for each figure."""
