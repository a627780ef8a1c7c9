"""Time constants that the running means and rates of several modules share.

Each mean is an exponentially weighted moving average: `mean += gain * (sample - mean)`.
"""

from __future__ import annotations

# Seconds between two iterations of the control loop: much shorter than a target queue wait, much longer than
# one iteration takes.
CONTROL_INTERVAL_S = 0.1

# Weight of a new sample in short-term means, which cover about the last eight samples, as TCP's estimate of
# the round-trip time does (RFC 6298).
RECENT_GAIN = 0.125

# Weight of a new sample in long-term means, which cover some tens of arrivals so that rare classes of high
# weight are included.
LONG_TERM_GAIN = 1 / 64

# Seconds over which rates (completions, arrivals of a tenant) are averaged.  It is also the time constant
# with which a measurement decays while there are no new samples.
RATE_WINDOW_S = 3.0
