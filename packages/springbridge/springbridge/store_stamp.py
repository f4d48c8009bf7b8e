"""Orders what a store says across the moments at which it goes back to an older copy.

A store counts revisions up with each write. When it comes back from an older copy, revisions that
it had given out are given out again, and its era is one higher. A stamp is a whole number that puts
the era before the revision, so that a later stamp always compares as greater, and none is given
twice. Without eras a stamp is the revision itself.
"""

# Stamps in one era; above the revisions of any store's life.
ERA_SPAN = 1 << 40


def stamp(era: int, revision: int) -> int:
    """Return the stamp of a revision that the store gave out in an era."""
    return era * ERA_SPAN + revision


def era_of(stamp_: int) -> int:
    """Return the era of a stamp."""
    return stamp_ // ERA_SPAN


def revision_of(stamp_: int) -> int:
    """Return the revision of a stamp, as the store knows it."""
    return stamp_ % ERA_SPAN
