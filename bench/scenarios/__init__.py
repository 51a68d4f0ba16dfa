"""Runs of real processes, ours against a naive version."""
