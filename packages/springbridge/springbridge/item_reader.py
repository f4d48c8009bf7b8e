"""Reads the items of a collection that others write, so that no item affects another one.

Other writers and later builds write to the platform's tables too, so an item may hold anything. Its
reader returns a record or raises. Whatever it raises, foreseen or not, makes that item alone
unreadable: it is reported with its key, and the others are read. Only what concerns the collection
as a whole, such as a call that failed, is for the caller to handle.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Generic, TypeVar

from returns.result import Failure, Result, Success

# Most characters of a key and of a reason that are reported; items may hold texts of any length.
MAX_KEY_CHARS = 200
MAX_REASON_CHARS = 200


class UnreadableItemError(ValueError):
    """An item is malformed; the message says how, without its content."""


@dataclass(frozen=True, slots=True)
class ItemId:
    """Identifies an item and its content.

    Attributes:
      key: Identifies the item in its collection.
      content_hash: Hash of its content, to detect changes of the item.
    """

    key: str
    content_hash: int


@dataclass(frozen=True, slots=True)
class UnreadableItem:
    """An item that could not be read.

    Attributes:
      key: Its key, with escapes for what cannot be printed.
      reason: What is wrong with it, without its content.
      content_hash: As in ItemId.
    """

    key: str
    reason: str
    content_hash: int


T = TypeVar("T")
ItemT = TypeVar("ItemT")


@dataclass(frozen=True, slots=True)
class ReadItems(Generic[T]):
    """The items of a collection, in its order.

    Attributes:
      found: The records of those that could be read.
      unreadable: The others.
    """

    found: tuple[T, ...] = ()
    unreadable: tuple[UnreadableItem, ...] = ()


def read_each(
    items: Iterable[ItemT], read: Callable[[ItemT], T], identify: Callable[[ItemT], ItemId]
) -> ReadItems[T]:
    """Read all items of a collection.

    Args:
      read: Returns the record of an item; anything that it raises makes the item unreadable.
      identify: Identifies an item that cannot be read; must not fail.
    """
    found: list[T] = []
    unreadable: list[UnreadableItem] = []
    for item in items:
        try:
            found.append(read(item))
        except Exception as exc:
            unreadable.append(_unreadable(identify(item), exc))
    return ReadItems(tuple(found), tuple(unreadable))


def read_item(
    item: ItemT, read: Callable[[ItemT], T], identify: Callable[[ItemT], ItemId]
) -> Result[T, UnreadableItem]:
    """Return the record of one item, or why it cannot be read; see read_each()."""
    read_items = read_each((item,), read, identify)
    if read_items.found:
        return Success(read_items.found[0])
    return Failure(read_items.unreadable[0])


def reason_of(exc: Exception) -> str:
    """Return why an item cannot be read whose reader raised an exception, without its content."""
    if isinstance(exc, UnreadableItemError):
        reason = str(exc)
    elif isinstance(exc, KeyError):
        # The name of a field, which its reader knows.
        reason = f"{exc}: missing"
    else:
        reason = type(exc).__name__
    return reason[:MAX_REASON_CHARS]


def printable(key: str) -> str:
    """Return the beginning of a key, with escapes for what cannot be printed."""
    return key[:MAX_KEY_CHARS].encode("ascii", "backslashreplace").decode()


def _unreadable(item_id: ItemId, exc: Exception) -> UnreadableItem:
    return UnreadableItem(printable(item_id.key), reason_of(exc), item_id.content_hash)
