"""The decisions and the interface through which they are fed."""
