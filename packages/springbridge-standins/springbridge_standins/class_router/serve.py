"""Runs stand-ins: ``python -m springbridge_standins.class_router.serve KIND ADDRESS...``."""

import asyncio
from enum import StrEnum
from typing import Annotated

import typer

from springbridge_standins.class_router.engine import ModelEngine
from springbridge_standins.class_router.json_standin import JsonStandIn
from springbridge_standins.class_router.service import PlainService
from springbridge_standins.class_router.table_service import Platform


class Kind(StrEnum):
    """Kind of stand-in; a blind engine checks no fencing tokens."""

    ENGINE = "engine"
    BLIND_ENGINE = "blind-engine"
    SERVICE = "service"
    PLATFORM = "platform"

    def make(self, address: str) -> JsonStandIn:
        """Return a stand-in of this kind for an address, IP number:port."""
        if self is Kind.SERVICE:
            return PlainService(address)
        if self is Kind.PLATFORM:
            return Platform(address)
        return ModelEngine(address, checks_tokens=self is Kind.ENGINE)


def main(
    kind: Annotated[Kind, typer.Argument(help="What to stand in for.")],
    addresses: Annotated[list[str], typer.Argument(help="IP number:port of each one.")],
) -> None:
    """Run stand-ins until stopped."""

    async def run() -> None:
        await asyncio.gather(*(kind.make(address).run() for address in addresses))

    asyncio.run(run())


if __name__ == "__main__":
    typer.run(main)
