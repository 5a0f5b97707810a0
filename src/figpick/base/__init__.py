"""Clock, errors, files, logs, settings and supervision, used by all packages."""
