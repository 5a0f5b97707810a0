"""Load balancing across upstreams, and detection of silent connections."""
