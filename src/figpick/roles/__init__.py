"""The node and control roles, and the process that runs them."""
