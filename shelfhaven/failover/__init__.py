"""Failover between zones: gossip of load digests, and the traffic policy that the fleet agrees on."""
