"""The ``zinniaspool`` program: the command line for operators."""
