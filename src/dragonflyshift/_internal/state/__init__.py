"""Outcomes, claims and other short-lived state."""
