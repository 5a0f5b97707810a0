"""Permits, levels and limits at the owner of an upstream."""
