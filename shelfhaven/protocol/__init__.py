"""Codecs of the peers of one server; no I/O and no state beyond what one stream needs."""
