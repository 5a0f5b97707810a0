"""Group membership, gossip and document fetching."""
