import unittest

from bench.slopes import fit_line


class SlopesTest(unittest.TestCase):
    def test_fit_of_collinear_points(self):
        line = fit_line([1, 10, 100], [5, 23, 203])
        self.assertAlmostEqual(line.intercept, 3)
        self.assertAlmostEqual(line.slope, 2)
        self.assertAlmostEqual(line.predict(1000), 2003)
        self.assertAlmostEqual(line.max_residual, 0)

    def test_residual_of_points_off_the_line(self):
        self.assertGreater(fit_line([1, 2, 3], [1, 4, 1]).max_residual, 0.2)

    def test_two_points_raise_value_error(self):
        with self.assertRaises(ValueError):
            fit_line([1, 2], [1, 2])
