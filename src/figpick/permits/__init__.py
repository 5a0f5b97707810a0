"""Permits, admission levels and concurrency limits of upstreams."""
