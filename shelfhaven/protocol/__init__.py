"""Codecs of the protocols that a server speaks; they do no I/O and keep only the state of one stream."""
