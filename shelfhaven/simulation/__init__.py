"""Adapter between the simulator's wire protocol and controllers: event frames in, action frames out."""
