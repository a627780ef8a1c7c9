"""Routing of requests and load balancing over backend pools, without I/O; the current time is an argument."""
