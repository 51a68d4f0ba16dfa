"""What the daemons know together: configuration, endpoints, each other."""
