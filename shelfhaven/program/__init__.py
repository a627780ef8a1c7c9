"""The server process: its components, how they depend on each other, and its phases from start to exit."""
