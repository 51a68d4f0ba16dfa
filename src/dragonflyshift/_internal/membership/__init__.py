"""Probing, suspicion and digests among a service's sidecars."""
