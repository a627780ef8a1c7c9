"""Leader election for singleton tasks: leases, fencing tokens, candidate ranking and hand-over."""
