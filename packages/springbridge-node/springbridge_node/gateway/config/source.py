"""Where a configuration or an endpoint list came from, as the log names it."""

from enum import StrEnum


class Source(StrEnum):
    """The origin of data; the values stand in the log.

    Attributes:
      SEED: A peer that was asked because its address is among this node's seeds.
    """

    STORE = "store"
    PEER = "peer"
    SEED = "seed"
