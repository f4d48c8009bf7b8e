"""The origin of a configuration or an endpoint list, for the log."""

from enum import StrEnum


class Source(StrEnum):
    """The origin of data; the values are written to the log.

    Attributes:
      SEED: A peer that this node asked at its start, as one of its seeds.
    """

    STORE = "store"
    PEER = "peer"
    SEED = "seed"
