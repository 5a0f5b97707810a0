"""Clock, errors, files, logs, settings and supervision, shared by the other packages."""
