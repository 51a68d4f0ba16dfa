"""Carried flows: packets that end at the backend server, not here.

Clients and backend servers exchange packets of a format of their own. The
balancer sends each packet to the sidecar whose backend server holds the
flow; the sidecar knows that exactly, as it sees both directions. Nothing in
this package knows the packets' layout or where configuration comes from.
"""
