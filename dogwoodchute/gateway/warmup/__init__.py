"""Endpoints that are cold, and the rate at which this host may send to them."""
