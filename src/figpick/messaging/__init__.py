"""Signed messages between processes over HTTP."""
