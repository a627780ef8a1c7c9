"""The laboratory: stand-ins of other systems, loads, checkers of the rules."""
