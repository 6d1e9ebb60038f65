"""The endpoints that registered themselves: their rows, limits, load and choice."""
