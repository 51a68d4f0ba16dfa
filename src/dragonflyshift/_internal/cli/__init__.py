"""The operators' command line: options, errors and exit statuses."""
