"""Checks the fields of rows that peers send, so that nothing of another type is taken in.

A value of another type would do its harm later, where rows of other nodes are compared with it.
"""


def text(value: object) -> str:
    """Return a value that is a text.

    Raises:
      ValueError: It is none.
    """
    if not isinstance(value, str):
        raise ValueError("no text")
    return value


def whole(value: object) -> int:
    """Return a value that is a whole number.

    Raises:
      ValueError: It is none.
    """
    if not isinstance(value, int) or isinstance(value, bool):
        raise ValueError("no whole number")
    return value


def number(value: object) -> float:
    """Return a value that is a number.

    Raises:
      ValueError: It is none.
    """
    if not isinstance(value, int | float) or isinstance(value, bool):
        raise ValueError("no number")
    return value


def texts(values: object) -> list[str]:
    """Return a value that is a list of texts.

    Raises:
      ValueError: It is none.
    """
    if not isinstance(values, list):
        raise ValueError("no list")
    return [text(value) for value in values]
