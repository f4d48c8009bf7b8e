"""One engine of drawn answers in a process of its own, which the kernel ends; see drawn_ends.py."""

import asyncio
import sys
from pathlib import Path

from springbridge_standins.gateway.drawn_ends import DrawnAnswers, Draws, RunRecord
from springbridge_standins.gateway.engine import EngineStandIn


def main(name: str, address: str, folder: str, seed: str, *numbers: str) -> None:
    """Serve until the process is ended.

    Args:
      folder: Folder of the record of runs.
      seed, numbers: Fields of the draws.
    """
    count, broken, by_process = numbers
    draws = Draws(int(seed), int(count), float(broken), float(by_process))
    engine = EngineStandIn(name, DrawnAnswers(draws.cases(), RunRecord(Path(folder))))
    engine.address = address
    asyncio.run(engine.run())


if __name__ == "__main__":
    main(*sys.argv[1:])
