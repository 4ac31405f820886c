"""Checkers of recorded histories of heads and clients, independent of the code and state of the program."""
