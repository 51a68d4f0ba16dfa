"""One module for each command of the operators' tool."""
