"""Cluster membership: the endpoint list of nodes and servers, its cache, and its synchronization.

Nodes obtain the list from each other and from the list service.
"""
