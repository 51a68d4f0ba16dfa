"""The users' platform: the only package that knows its words.

Settings, packets and documents of the platform are decoded here, once, into
the project's own types. ``python3 -m dragonflyshift.platform ROLE`` runs a
role on a machine of the platform.
"""
