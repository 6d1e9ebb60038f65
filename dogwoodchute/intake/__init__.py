"""What callers' connections may hold of a process's memory and descriptors."""
