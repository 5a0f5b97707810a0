"""The replicated log, its storage and its members."""
