"""Plug-in registry, settings and lifecycle."""
