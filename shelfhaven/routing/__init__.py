"""Routes, pools, limits and attempts: decisions without I/O, time passed in."""
