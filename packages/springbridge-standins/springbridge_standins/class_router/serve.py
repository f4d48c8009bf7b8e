"""Runs stand-ins: ``python -m springbridge_standins.class_router.serve KIND ADDRESS...``."""

import asyncio
from enum import StrEnum
from typing import Annotated

import typer

from springbridge_standins.class_router.engine import ModelEngine
from springbridge_standins.class_router.service import PlainService
from springbridge_standins.class_router.table_service import Platform


class Kind(StrEnum):
    """What to stand in for; a blind engine checks no fencing tokens."""

    ENGINE = "engine"
    BLIND_ENGINE = "blind-engine"
    SERVICE = "service"
    PLATFORM = "platform"


def main(
    kind: Annotated[Kind, typer.Argument(help="What to stand in for.")],
    addresses: Annotated[list[str], typer.Argument(help="IP number:port of each one.")],
) -> None:
    """Run stand-ins until stopped."""
    asyncio.run(_run(kind, addresses))


async def _run(kind: Kind, addresses: list[str]) -> None:
    await asyncio.gather(*(_make(kind, address).run() for address in addresses))


def _make(kind: Kind, address: str) -> ModelEngine | PlainService | Platform:
    if kind is Kind.SERVICE:
        return PlainService(address)
    if kind is Kind.PLATFORM:
        return Platform(address)
    return ModelEngine(address, checks_tokens=kind is Kind.ENGINE)


if __name__ == "__main__":
    typer.run(main)
