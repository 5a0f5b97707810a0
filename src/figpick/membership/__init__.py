"""Member records, gossip and the fetching of documents."""
