"""Baseline roles for carried flows, as described in docs/PLATFORM.md."""
