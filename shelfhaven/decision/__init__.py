"""Overload control of one server as a pure state machine: events and the time in, actions out."""
