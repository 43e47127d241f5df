"""What this host believes about runners.

``directory`` holds their registrations, ``health`` their failures, ``pace``
their speed.
"""
