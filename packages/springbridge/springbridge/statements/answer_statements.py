"""The records of what the head of one answer says of its endpoint.

Decided: nothing. The platform's adapter fills them in from headers, and leaves what a value stands
for to the rules of this package and of `springbridge.rates`.
"""

from dataclasses import dataclass

from springbridge.rates.statements import StatedRate


@dataclass(frozen=True, slots=True)
class UnreadableStatement:
    """A header about the endpoint whose value says nothing that can be used.

    Attributes:
      header: Name of the header.
      value: The beginning of its value, for the log.
    """

    header: str
    value: str


@dataclass(frozen=True, slots=True)
class AnswerStatements:
    """What the head of an answer says of its endpoint.

    Attributes:
      rate: What it says of the rate that the endpoint takes.
      leaves: The endpoint is about to leave.
      rest_s: Seconds for which the endpoint wants nothing from this instance; None if it does not
        ask for rest.
      unreadable: Headers that were passed over, but for one with a rate.
      unknown: Names of headers that this build does not know.
    """

    rate: StatedRate = StatedRate()
    leaves: bool = False
    rest_s: float | None = None
    unreadable: tuple[UnreadableStatement, ...] = ()
    unknown: tuple[str, ...] = ()


NOTHING_SAID = AnswerStatements()
