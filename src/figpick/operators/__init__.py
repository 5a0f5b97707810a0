"""The command line and the client that sends requests of operators."""
