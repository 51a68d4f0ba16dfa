import unittest

from bench.slopes import fit_line


class SlopesTest(unittest.TestCase):
    def test_line_through_measurements(self):
        line = fit_line([1, 10, 100], [5, 23, 203])
        self.assertAlmostEqual(line.fixed, 3)
        self.assertAlmostEqual(line.slope, 2)
        self.assertAlmostEqual(line.at(1000), 2003)
        self.assertAlmostEqual(line.worst, 0)

    def test_distance_from_the_line_is_told(self):
        self.assertGreater(fit_line([1, 2, 3], [1, 4, 1]).worst, 0.2)

    def test_two_points_are_too_few(self):
        with self.assertRaises(ValueError):
            fit_line([1, 2], [1, 2])
