"""The state that daemons replicate: configuration, endpoints and peers."""
