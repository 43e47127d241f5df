"""What this host believes about runners.

``directory`` holds their registrations, ``health`` their failures, ``latency``
their speed. ``observations`` are what a host sees of one and reports to the
host that schedules it; ``starts`` finds runners by their digests.
"""
