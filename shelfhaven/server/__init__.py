"""The real app server: phases, actors and log around the decision module."""
