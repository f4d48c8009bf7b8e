"""Run signs: whether the run of an endpoint that ended an answer has gone on after it.

An answer that states no length ends with its connection. The kernel closes the connections of a
process that ends as the process itself does behind its last byte, and a new run may listen at the
same address a moment later. So such an answer is whole only on a sign that its own run gives after
the end, and everything else leaves it in doubt.
Decided: what an answer to a health check, sent after the end and addressed to the run, shows.
Inputs: what the head of that answer says. Its status does not matter: an endpoint that leaves, is
full or fails its check goes on all the same.

| the answer                                  | result    |
| ------------------------------------------- | --------- |
| refuses the check as meant for another run  | OTHER_RUN |
| names another run                           | OTHER_RUN |
| any other                                   | SAME_RUN  |

One that names no run comes from the run that was addressed, since each run refuses what is
addressed to another one.
"""

from dataclasses import dataclass
from enum import Enum, auto


class RunSign(Enum):
    """What is known of a run of an endpoint after it ended an answer.

    SAME_RUN: It answered a health check. OTHER_RUN: Another run answered at its address. REFUSED:
    Its host refused the connection, so that it has ended. NO_SIGN: Nobody answered in time.
    """

    SAME_RUN = auto()
    OTHER_RUN = auto()
    REFUSED = auto()
    NO_SIGN = auto()


@dataclass(frozen=True, slots=True)
class CheckAnswer:
    """The head of an answer to a health check, as far as it tells which run answered.

    Attributes:
      refuses_run: Whether it refuses the check as meant for another run.
      run_id: Id of the endpoint that it names, "" if it names none.
    """

    refuses_run: bool = False
    run_id: str = ""


def sign_of(answer: CheckAnswer, endpoint_id: str) -> RunSign:
    """Return what an answer to a health check shows of a run.

    Args:
      endpoint_id: Id of the run that was asked.
    """
    if answer.refuses_run or answer.run_id not in ("", endpoint_id):
        return RunSign.OTHER_RUN
    return RunSign.SAME_RUN
