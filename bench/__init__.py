"""Stand-ins, load and experiments that run on loopback."""
