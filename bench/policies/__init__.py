"""Decisions of the QUIC product under load, on a virtual clock."""
