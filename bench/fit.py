"""Linear regression of measured values over size."""

from collections.abc import Sequence
from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True)
class Line:
    """Least-squares line of a value over size.

    Attributes:
        intercept: Value at size 0.
        slope: Increase of the value per unit of size.
        residual: Largest absolute difference between a point and the line.
    """

    intercept: float
    slope: float
    residual: float

    def value_at(self, size: float) -> float:
        """Returns the value that the line predicts for a size."""
        return self.intercept + self.slope * size


def fit(sizes: Sequence[float], values: Sequence[float]) -> Line:
    """Returns the least-squares line of the points."""
    count = len(sizes)
    mean_size = sum(sizes) / count
    mean_value = sum(values) / count
    sum_of_squares = sum((size - mean_size) ** 2 for size in sizes)
    pairs = list(zip(sizes, values, strict=True))
    slope = (
        sum((s - mean_size) * (v - mean_value) for s, v in pairs)
        / sum_of_squares
    )
    intercept = mean_value - slope * mean_size
    residual = max(abs(v - intercept - slope * s) for s, v in pairs)
    return Line(intercept=intercept, slope=slope, residual=residual)


def report_fit(
    label: str,
    unit: str,
    sizes: Sequence[float],
    values: Sequence[float],
    at_sizes: Sequence[float],
) -> Line:
    """Fits a line; prints the points, the line and its predictions."""
    line = fit(sizes, values)
    points = ", ".join(
        f"{size:g}: {value:.4g}"
        for size, value in zip(sizes, values, strict=True)
    )
    print(f"{label} [{unit}]: {points}")
    predictions = ", ".join(
        f"at {size:g}: {line.value_at(size):.4g}" for size in at_sizes
    )
    print(
        f"  line {line.intercept:.4g} + {line.slope:.4g} x size,"
        f" residual {line.residual:.2g}; {predictions}"
    )
    return line
