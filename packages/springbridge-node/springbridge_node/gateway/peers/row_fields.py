"""Checks the types of the fields of rows that peers send.

A value of another type would cause an error only later, where it is compared with values from other
nodes.
"""


def text(value: object) -> str:
    """Return a value after checking that it is a string.

    Raises:
      ValueError: It is not.
    """
    if not isinstance(value, str):
        raise ValueError("not a string")
    return value


def whole(value: object) -> int:
    """Return a value after checking that it is an integer; a bool is not.

    Raises:
      ValueError: It is not.
    """
    if not isinstance(value, int) or isinstance(value, bool):
        raise ValueError("not an integer")
    return value


def number(value: object) -> float:
    """Return a value after checking that it is an integer or a float; a bool is neither.

    Raises:
      ValueError: It is not.
    """
    if not isinstance(value, int | float) or isinstance(value, bool):
        raise ValueError("not a number")
    return value


def texts(values: object) -> list[str]:
    """Return a value after checking that it is a list of strings.

    Raises:
      ValueError: It is not.
    """
    if not isinstance(values, list):
        raise ValueError("not a list")
    return [text(value) for value in values]
