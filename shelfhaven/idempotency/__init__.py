"""Fleet-wide idempotency keys: a quorum of replicas reserves a key before its request runs."""
