"""The request path at a calling node: call plans, attempts and responses."""
