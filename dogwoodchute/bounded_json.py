"""Parses JSON of other writers, whose depth and numbers are bounded."""

import json
import math

MAX_DIGITS = 18  # of an integer; such a one fits into 64 bits


class FormatError(ValueError):
    """The content isn't JSON, or it is beyond the bounds."""


def loads(content: bytes | str) -> object:
    """Return the value in `content`; raise `FormatError` if it can't be used.

    All numbers in it are finite, and integers have at most `MAX_DIGITS` digits.
    """
    try:
        return json.loads(
            content,
            parse_int=_integer,
            parse_float=_finite,
            parse_constant=_refuse_constant,
        )
    except FormatError:
        raise
    except ValueError as error:
        raise FormatError(str(error)) from error
    except RecursionError as error:
        raise FormatError("nested too deeply") from error


def load_object(content: bytes | str) -> dict:
    """Return the JSON object in `content`; raise `FormatError` if it is none."""
    plain = loads(content)
    if not isinstance(plain, dict):
        raise FormatError("not an object")
    return plain


def _integer(text: str) -> int:
    if len(text.lstrip("-")) > MAX_DIGITS:
        raise FormatError(f"an integer of more than {MAX_DIGITS} digits")
    return int(text)


def _finite(text: str) -> float:
    number = float(text)
    if not math.isfinite(number):
        raise FormatError("a number that is too large")
    return number


def _refuse_constant(text: str) -> float:
    raise FormatError(f"{text} is no number")
