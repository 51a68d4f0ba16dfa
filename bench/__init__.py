"""Benchmarks, fault scenarios and the naive baseline."""
