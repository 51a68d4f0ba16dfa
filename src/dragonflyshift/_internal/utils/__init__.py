"""Small single-purpose helpers."""
