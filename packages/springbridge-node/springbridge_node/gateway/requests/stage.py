"""Stages of serving a request, by which a fault's log line says what was being done."""

from enum import Enum


class Stage(Enum):
    """What is being done for a request; the values are logged and counted.

    ADMIT: Route, customer and service are looked up. SELECT: An endpoint is selected. GATE: The
    quarantine is asked. PERMIT, PLACE: What the endpoint permits is acquired. CONNECT: A connection
    is acquired. SEND: The request is sent and its answer relayed. VERIFY_END: It is verified how an
    answer ended. RECORD: The outcome is recorded. GIVE_UP: The final answer is sent.
    """

    ADMIT = "admit"
    SELECT = "select"
    GATE = "gate"
    PERMIT = "permit"
    PLACE = "place"
    CONNECT = "connect"
    SEND = "send"
    VERIFY_END = "verify end"
    RECORD = "record"
    GIVE_UP = "give up"
