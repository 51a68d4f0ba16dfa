"""Private implementation; nothing here is a stable interface."""
