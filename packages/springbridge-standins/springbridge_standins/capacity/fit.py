"""Measures CPU time or memory at several sizes and fits a line to the results."""

import gc
import statistics
import tracemalloc
from collections.abc import Callable
from dataclasses import dataclass
from time import process_time

# Measurements per size; their median is used.
REPEATS = 5
MICROSECOND = 1e-6


@dataclass(frozen=True)
class Slope:
    """A fitted line: value = start + slope * quantity.

    Attributes:
      spread: Largest deviation of a repeat from the median of its size, as a share of that median.
    """

    name: str
    quantity: str
    unit: str
    sizes: list[int]
    medians: list[float]
    start: float
    slope: float
    spread: float


def fit(name: str, quantity: str, unit: str, samples: dict[int, list[float]]) -> Slope:
    """Fit a line through the medians of repeated measurements."""
    sizes = list(samples)
    medians = [statistics.median(values) for values in samples.values()]
    line = statistics.linear_regression(sizes, medians)
    spread = max(
        abs(value - middle) / middle
        for values, middle in zip(samples.values(), medians, strict=True)
        for value in values
        if middle
    )
    return Slope(name, quantity, unit, sizes, medians, line.intercept, line.slope, spread)


def timed(step: Callable[[], object], count: int) -> float:
    """Return the mean CPU time of a step in microseconds, over count steps."""
    start_s = process_time()
    for _ in range(count):
        step()
    return (process_time() - start_s) / count / MICROSECOND


def measure(
    name: str,
    quantity: str,
    sizes: list[int],
    prepare: Callable[[int], Callable[[], object]],
    count: int = 300,
) -> Slope:
    """Measure the CPU time in microseconds of the step that prepare returns for each size."""
    samples = {}
    for size in sizes:
        step = prepare(size)
        step()
        gc.collect()
        samples[size] = [timed(step, count) for _ in range(REPEATS)]
    return fit(name, quantity, "us", samples)


def memory(name: str, quantity: str, sizes: list[int], make: Callable[[int], object]) -> Slope:
    """Measure the memory in bytes that is held by what make returns for each size."""
    samples = {}
    for size in sizes:
        samples[size] = [_kept_bytes(make, size) for _ in range(3)]
    return fit(name, quantity, "bytes", samples)


def _kept_bytes(make: Callable[[int], object], size: int) -> float:
    gc.collect()
    tracemalloc.start()
    kept = make(size)
    gc.collect()
    found = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del kept
    return float(found)
