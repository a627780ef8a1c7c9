"""Test support: stubs of other systems, load generators, simulations, formal models and checkers."""
