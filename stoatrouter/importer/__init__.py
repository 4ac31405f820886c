"""Reads the balancer settings of other servers."""
