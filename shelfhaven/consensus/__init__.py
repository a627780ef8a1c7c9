"""Consensus stores with compare-and-set, leases and watches: etcd, a Raft group, or one process."""
