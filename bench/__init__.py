"""Stand-in upstreams, load generators and experiments that run on loopback."""
