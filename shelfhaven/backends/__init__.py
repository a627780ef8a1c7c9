"""Who runs requests or is called by them: runners and callees behind the core."""
