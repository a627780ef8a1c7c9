"""Overload control that runs inside each server of a fleet."""

__version__ = "0.7.0"
