"""Measurements, one module for each area, one key=value line for each figure."""
