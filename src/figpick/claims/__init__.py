"""Claims, which ensure that a keyed non-idempotent request runs at most once."""
