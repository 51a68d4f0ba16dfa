"""Costs of the configuration: documents, readers, a start of all balancers."""
