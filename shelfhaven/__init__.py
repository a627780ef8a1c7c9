"""shelfhaven: overload control inside each server of a fleet."""
