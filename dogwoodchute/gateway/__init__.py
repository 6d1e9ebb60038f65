"""Serves the callers of a deployment whose platform announces routes and endpoints."""
