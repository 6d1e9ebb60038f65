"""The long-running tasks that keep a host's state, one module each."""
