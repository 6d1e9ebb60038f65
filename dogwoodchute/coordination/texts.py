"""Checks of texts that other writers send: names, and ports in addresses."""

MAX_NAME = 200  # characters; the store's keys are no longer
MAX_PORT = 65535


def is_name(value: object, *, max_length: int = MAX_NAME) -> bool:
    """Return whether `value` is a text that may be hashed, logged and sent on."""
    if not isinstance(value, str):
        return False
    return 0 < len(value) <= max_length and value.isprintable()


def is_port(text: str, *, least: int = 1) -> bool:
    """Return whether `text` is the number of a port, from `least` on."""
    if not (text.isascii() and text.isdecimal() and len(text) <= len(str(MAX_PORT))):
        return False
    return least <= int(text) <= MAX_PORT
