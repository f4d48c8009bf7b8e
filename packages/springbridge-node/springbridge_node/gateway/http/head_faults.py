"""What can be wrong with the head of an answer: the one statement that logs and metrics read."""

from enum import Enum

from springbridge_node.gateway.http.answer_end import AnswerBrokenError, AnswerEnd


class HeadFault(Enum):
    """Why a head is that of no answer; the values are logged and counted.

    STATUS_LINE: Its first line is no status line of HTTP/1. STATUS: No answer has its status, or
    none that was asked for. LINE_END: A line ends otherwise than by CRLF. FIELD: A line is no
    field. LINES: It has more lines than are parsed. LENGTH: The length of the body is no number.
    CODING: The body is in a coding that is not understood. LENGTH_AND_CODING: It states both, which
    contradict each other. INTERIM_BODY: An interim answer states a length or a coding.
    CODING_MISPLACED: It states a coding where the version or the status has none.
    """

    STATUS_LINE = "status line"
    STATUS = "status of no answer"
    LINE_END = "bare line feed"
    FIELD = "not a field"
    LINES = "too many lines"
    LENGTH = "length is not a number"
    CODING = "unknown transfer coding"
    LENGTH_AND_CODING = "length and transfer coding"
    CODING_MISPLACED = "misplaced transfer coding"
    INTERIM_BODY = "interim answer with a body"


class BrokenHeadError(AnswerBrokenError):
    """The head of an answer is broken, so that nothing behind it can be read.

    Attributes:
      fault: What is wrong with it.
    """

    def __init__(self, fault: HeadFault) -> None:
        """Keep what is wrong."""
        super().__init__(AnswerEnd.INVALID, fault.value)
        self.fault = fault
