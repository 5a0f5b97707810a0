"""Retry limits, and quarantine of requests that crash upstreams."""
