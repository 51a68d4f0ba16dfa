"""Decisions on carried flows, free of input and output.

Each module names the load pattern that its decision answers. They stand
beside the roles that use them, so that a role imports nothing else.
"""
