"""The balancer role: steer, wrap and unwrap datagrams."""
