"""The steps that one request passes, one module each."""
