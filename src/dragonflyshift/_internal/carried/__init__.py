"""Balancers and sidecars for carried flows.

A carried flow ends at the backend server; balancers and sidecars only forward
its packets, whose format clients and backend servers define. A QUIC flow, in
contrast, ends at the sidecar, which passes its requests to the backend server
over connections of its own. The balancer sends each packet to the sidecar
whose backend server holds the flow. The sidecar sees both directions of the
traffic and therefore has an exact record of its server's flows. This package
depends neither on the layout of the packets nor on the source of the
configuration.
"""
