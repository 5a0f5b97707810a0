"""Clock, errors, files, logs, settings and supervision for the other packages."""
