"""What this host knows about runners.

``directory`` holds their registrations, ``health`` their failures and
``latency`` their speed. ``observations`` are what a host sees of a runner and
reports to the host that schedules it; ``startindex`` finds runners by the
digests that messages hold.
"""
