"""Paired comparisons of builds, plug-ins and mechanisms on common seeds.

An experiment names its arms, days and seeds in a TOML file. All arms play the
same days with the same seeds, in the emulator or through the users' bench
program, and are compared by their paired differences.
"""
