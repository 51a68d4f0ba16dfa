"""Costs of single operations, in processor time."""
