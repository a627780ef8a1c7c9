"""The server: its actors, request and idempotency key tables, timers and log around the controller."""
