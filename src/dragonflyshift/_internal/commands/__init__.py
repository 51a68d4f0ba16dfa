"""Commands of the operators' command line, one module for each."""
