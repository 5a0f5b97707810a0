"""The command line and the requests of operators."""
