"""Simulated instances on a simulated network, with faults that befall them.

What an instance does is up to the fleets that are built on this: those of rates, and of brittle
endpoints.
"""

import asyncio
import itertools
import random
from collections.abc import Iterator

from springbridge_standins.rates.network import SimulatedNetwork

# Time after a restart, freeze or partition in which an instance is excused from the rules.
EXCUSED_S = 3.0


class FaultyFleet:
    """Instances and the network between them; a subclass starts the instances.

    Attributes:
      excused_until_s: Until when instances that had a fault are excused, by address.
    """

    def __init__(self, rng: random.Random, size: int) -> None:
        """Start all instances; each knows all others."""
        self.rng = rng
        self.network = SimulatedNetwork(rng)
        self.excused_until_s: dict[str, float] = {}
        self._runs = itertools.count()
        self.instances = []
        for number in range(size):
            self.instances.append(self._start(number))
        for instance in self.instances:
            for other in self.instances:
                if other is not instance:
                    instance.view._add(other.member)

    def _start(self, number: int):
        """Start an instance and return it; to be overridden."""
        raise NotImplementedError

    def new_incarnation(self) -> str:
        """Return an incarnation that no instance has had."""
        return f"{next(self._runs):010x}"

    def is_excused(self, address: str) -> bool:
        """Return whether an instance has or recently had a fault."""
        return asyncio.get_running_loop().time() < self.excused_until_s.get(address, 0.0)

    def excuse(self, address: str, seconds: float) -> None:
        """Excuse an instance for the seconds of a fault and EXCUSED_S more."""
        until_s = asyncio.get_running_loop().time() + seconds + EXCUSED_S
        self.excused_until_s[address] = max(until_s, self.excused_until_s.get(address, 0.0))

    def restart(self, number: int, down_s: float) -> None:
        """Kill an instance, and start a new incarnation after down_s seconds."""
        old = self.instances[number]
        old.kill()
        for each in self.instances:
            each.view.notice_gone(old.member)
        self.excuse(old.address, down_s)
        asyncio.get_running_loop().call_later(down_s, self._start_replacement, number)

    def _start_replacement(self, number: int) -> None:
        new = self._start(number)
        self.instances[number] = new
        for each in self.instances:
            if each is not new and self.network.reaches(each.address, new.address):
                each.view.notice_return(new.member)
                new.view.notice_return(each.member)

    def freeze(self, number: int, seconds: float) -> None:
        """Freeze an instance for some seconds; the others remove it in the meantime."""
        instance = self.instances[number]
        loop = asyncio.get_running_loop()
        self.network.frozen_until_s[instance.address] = loop.time() + seconds
        self.excuse(instance.address, seconds)
        for each in self.instances:
            each.view.notice_gone(instance.member)
            loop.call_later(seconds, each.view.notice_return, instance.member)

    def cut(self, numbers: set[int], seconds: float) -> None:
        """Partition some instances from the others for some seconds."""
        loop = asyncio.get_running_loop()
        for number in numbers:
            self.network.sides[self.instances[number].address] = 1
            self.excuse(self.instances[number].address, seconds)
        for one, other in self._pairs(numbers):
            one.view.notice_gone(other.member)
            other.view.notice_gone(one.member)
        loop.call_later(seconds, self._heal, numbers)

    def _heal(self, numbers: set[int]) -> None:
        for number in numbers:
            self.network.sides[self.instances[number].address] = 0
        for one, other in self._pairs(numbers):
            one.view.notice_return(other.member)
            other.view.notice_return(one.member)

    def _pairs(self, numbers: set[int]) -> Iterator[tuple]:
        """Yield each pair of an instance in numbers and one that is not."""
        for number in numbers:
            for other in range(len(self.instances)):
                if other not in numbers:
                    yield self.instances[number], self.instances[other]
