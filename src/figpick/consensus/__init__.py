"""Replicated log, its storage and its membership."""
