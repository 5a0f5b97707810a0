"""The roles of a process and how their parts are wired."""
