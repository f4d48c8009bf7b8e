"""Records of the statements that an endpoint makes in the headers of one response.

The platform's adapter fills them in from the headers; how the values are interpreted is left to
this package and to `springbridge.rates`.
"""

from dataclasses import dataclass

from springbridge.rates.statements import StatedRate


@dataclass(frozen=True, slots=True)
class UnreadableStatement:
    """A header about the endpoint whose value cannot be parsed.

    Attributes:
      header: Name of the header.
      value: The beginning of its value, for the log.
    """

    header: str
    value: str


@dataclass(frozen=True, slots=True)
class AnswerStatements:
    """The statements in the headers of one response.

    Attributes:
      rate: The rate that the endpoint takes.
      leaves: Whether the endpoint is about to leave.
      rest_s: Seconds for which the endpoint wants no requests from this instance; None if it does
        not ask for a rest.
      unreadable: Headers that were ignored, except one with a rate.
      unknown: Names of headers that this version does not know.
      rejections: The rejections a second that the endpoint can stand; named only if it is brittle.
    """

    rate: StatedRate = StatedRate()
    leaves: bool = False
    rest_s: float | None = None
    unreadable: tuple[UnreadableStatement, ...] = ()
    unknown: tuple[str, ...] = ()
    rejections: StatedRate = StatedRate()


NOTHING_SAID = AnswerStatements()
