"""Entry point of the operators' command line."""
