"""Measures how the library's costs grow, as the input of docs/CAPACITY.md: ``make capacity``.

Each measurement varies one quantity over at least four sizes, repeats each size, fits a line by
least squares and prints its slope, its intercept (start) and the largest deviation of a repeat
from the median of its size. The costs of whole nodes (CPU, memory, bytes, calls) have to be
measured on a running fleet.
"""

from springbridge.membership import DIGEST_LIMIT

from springbridge_standins.capacity.fit import Slope
from springbridge_standins.capacity.library import library_slopes


def show(slope: Slope) -> None:
    """Print a fitted line with its medians."""
    medians = ", ".join(
        f"{size}: {median:.4g}" for size, median in zip(slope.sizes, slope.medians, strict=True)
    )
    print(
        f"{slope.name} by {slope.quantity} [{slope.unit}]: start {slope.start:.4g}, "
        f"slope {slope.slope:.4g}, spread {slope.spread:.0%} ({medians})"
    )


def main() -> None:
    """Measure all slopes and print them."""
    for slope in library_slopes():
        show(slope)
    print(f"a digest holds at most {DIGEST_LIMIT} members")
