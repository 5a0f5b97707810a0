"""Bounds on retries, and quarantine of requests that crash upstreams."""
