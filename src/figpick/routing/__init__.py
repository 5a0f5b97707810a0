"""Choice among upstreams and watching of their connections."""
