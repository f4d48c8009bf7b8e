"""How the parts of a prompt travel between nodes."""

from springbridge.routing.records import PromptPart


def to_rows(parts: tuple[PromptPart, ...]) -> list[list]:
    """Return the parts as they travel."""
    return [[part.part_id, part.tokens] for part in parts]


def from_rows(rows: list[list]) -> tuple[PromptPart, ...]:
    """Return the parts from what travelled."""
    return tuple(PromptPart(part_id, tokens) for part_id, tokens in rows)
