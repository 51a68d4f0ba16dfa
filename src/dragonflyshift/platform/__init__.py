"""The adapter to the users' platform.

Only this package uses the names and formats of the platform: it decodes the
platform's settings, packets and documents into the types of the other
packages. ``python3 -m dragonflyshift.platform ROLE`` runs a balancer or a
sidecar on a machine of the platform.
"""
