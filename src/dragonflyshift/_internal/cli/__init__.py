"""Operators' command line: base commands, errors and exit codes."""
