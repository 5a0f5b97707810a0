"""Clocks, errors, files, logs, settings and supervision that all parts use."""
