"""Pure decisions on data and passed-in time, free of sockets and of the daemon.

These modules may be embedded by other projects. They import the standard library,
small pure libraries and one another, and nothing else of this package.
"""
