"""Policies for carried flows: placement, admission and reader election.

They are plain computations without I/O. The docstring of each module
describes the load pattern that its policy is designed for.
"""
