"""Recovery after pauses and losses."""
