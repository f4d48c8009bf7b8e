"""Stamps: store revisions that stay ordered when the store is restored from an older copy.

A store increments its revision with each write. After a restore from an older copy it assigns some
revisions again, and its era is one higher. A stamp is an integer with the era in the high part and
the revision in the low part, so that a later stamp always compares as greater, and none is assigned
twice. In a store without eras the stamp is the revision itself.
"""

# Number of stamps in one era; above the number of revisions in the lifetime of any store.
ERA_SPAN = 1 << 40


def stamp(era: int, revision: int) -> int:
    """Return the stamp of a revision that the store assigned in an era."""
    return era * ERA_SPAN + revision


def era_of(stamp_: int) -> int:
    """Return the era of a stamp."""
    return stamp_ // ERA_SPAN


def revision_of(stamp_: int) -> int:
    """Return the revision of a stamp, as the store counts it."""
    return stamp_ % ERA_SPAN
