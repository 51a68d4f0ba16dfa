"""Straight lines through measurements at several sizes."""

from collections.abc import Sequence

import numpy as np
from attrs import frozen

MIN_POINTS = 3


@frozen
class Line:
    """A least-squares fit ``fixed + slope * size``.

    ``worst`` is the largest distance of a measurement from the line,
    relative to the largest measurement.
    """

    fixed: float
    slope: float
    worst: float

    def at(self, size: float) -> float:
        """Return the line's value at a size."""
        return self.fixed + self.slope * size


def fit_line(sizes: Sequence[float], measured: Sequence[float]) -> Line:
    """Fit a line; raise ValueError below three points.

    Example:
        >>> round(fit_line([1, 2, 3], [3, 5, 7]).at(10))
        21
    """
    if len(sizes) < MIN_POINTS or len(sizes) != len(measured):
        raise ValueError(f'{len(sizes)} points are too few for a line')
    slope, fixed = np.polyfit(sizes, measured, 1)
    distances = np.abs(np.polyval((slope, fixed), sizes) - measured)
    largest = float(np.max(np.abs(measured))) or 1.0
    return Line(float(fixed), float(slope), float(np.max(distances)) / largest)
