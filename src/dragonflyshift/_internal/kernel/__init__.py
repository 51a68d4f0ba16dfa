"""Plug-in registry, settings, background tasks and daemon lifecycle."""
