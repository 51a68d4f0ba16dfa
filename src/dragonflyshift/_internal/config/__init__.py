"""Inventory, published documents, watching and versions."""
