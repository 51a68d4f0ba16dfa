"""The sidecar role: end flows, admit and run requests."""
