"""Service documents and the results of their changes."""
