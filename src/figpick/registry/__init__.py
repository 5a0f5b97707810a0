"""Service documents and the answers to their changes."""
