"""The request path with one hop: plans, attempts and answers."""
