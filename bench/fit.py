"""Straight lines through measured points."""

from collections.abc import Sequence
from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True)
class Line:
    """A least-squares line.

    Attributes:
        base: Value at size 0.
        slope: Growth for each unit of size.
        residual: Largest distance of a point from the line.
    """

    base: float
    slope: float
    residual: float

    def at(self, size: float) -> float:
        """Returns the line's value at a size."""
        return self.base + self.slope * size


def fit(sizes: Sequence[float], values: Sequence[float]) -> Line:
    """Returns the least-squares line through the points."""
    count = len(sizes)
    mean_size = sum(sizes) / count
    mean_value = sum(values) / count
    spread = sum((size - mean_size) ** 2 for size in sizes)
    pairs = list(zip(sizes, values, strict=True))
    slope = sum((s - mean_size) * (v - mean_value) for s, v in pairs) / spread
    base = mean_value - slope * mean_size
    residual = max(abs(v - base - slope * s) for s, v in pairs)
    return Line(base=base, slope=slope, residual=residual)


def report(
    what: str,
    unit: str,
    sizes: Sequence[float],
    values: Sequence[float],
    at: Sequence[float],
) -> Line:
    """Prints the points, the line and its values at some sizes."""
    line = fit(sizes, values)
    points = ", ".join(
        f"{size:g}: {value:.4g}"
        for size, value in zip(sizes, values, strict=True)
    )
    print(f"{what} [{unit}]: {points}")
    ahead = ", ".join(f"at {size:g}: {line.at(size):.4g}" for size in at)
    print(
        f"  line {line.base:.4g} + {line.slope:.4g} x size,"
        f" residual {line.residual:.2g}; {ahead}"
    )
    return line
