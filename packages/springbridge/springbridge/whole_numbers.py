"""Reads whole numbers that others send, with bounds on their size.

Python converts texts of some thousand digits with an exception or in much time, and numbers beyond
64 bits cannot be sent to peers. Each place that reads a number from outside goes through here.
"""

# Numbers that instances can send each other.
MIN_WHOLE, MAX_WHOLE = -(1 << 63), (1 << 63) - 1
# Digits of MAX_WHOLE.
MAX_DIGITS = 19


def whole_from_text(text: str, max_digits: int = MAX_DIGITS) -> int | None:
    """Return the number that a text of decimal digits states, None if it is none or too long."""
    if len(text) > max_digits or not (text.isascii() and text.isdecimal()):
        return None
    return int(text)


def whole(value: object) -> int:
    """Return a value of a document as a whole number of at most 64 bits.

    Raises:
      ValueError, TypeError, OverflowError: It is none, or is larger.
    """
    number = int(value)
    if not MIN_WHOLE <= number <= MAX_WHOLE:
        raise ValueError("more than 64 bits")
    return number
