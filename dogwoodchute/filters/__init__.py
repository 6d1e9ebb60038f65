"""The filters of the chain that handles a caller's request, one module each."""
