"""Linear fits of measurements at several sizes."""

from collections.abc import Sequence

import numpy as np
from attrs import frozen

MIN_POINTS = 3


@frozen
class Line:
    """A least-squares fit ``intercept + slope * size``.

    ``max_residual`` is the largest distance of a measurement from the line,
    relative to the largest absolute measurement.
    """

    intercept: float
    slope: float
    max_residual: float

    def predict(self, size: float) -> float:
        """Return the value that the line predicts for a size."""
        return self.intercept + self.slope * size


def fit_line(sizes: Sequence[float], measured: Sequence[float]) -> Line:
    """Fit a line by least squares.

    Raises ValueError for fewer than three points, or if the numbers of sizes
    and measurements differ.

    Example:
        >>> round(fit_line([1, 2, 3], [3, 5, 7]).predict(10))
        21
    """
    if len(sizes) < MIN_POINTS or len(sizes) != len(measured):
        raise ValueError(
            f'cannot fit a line to {len(sizes)} sizes and {len(measured)}'
            f' measurements, expected equal numbers of at least {MIN_POINTS}',
        )
    slope, intercept = np.polyfit(sizes, measured, 1)
    residuals = np.abs(np.polyval((slope, intercept), sizes) - measured)
    largest = float(np.max(np.abs(measured))) or 1.0
    return Line(
        float(intercept), float(slope), float(np.max(residuals)) / largest
    )
