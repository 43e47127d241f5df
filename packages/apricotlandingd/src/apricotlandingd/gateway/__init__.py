"""The entry of a platform's callers: forwards requests to runners.

This package is the daemon as it runs on a platform that keeps configuration
and runner registrations in its own store. Its rooms:

* ``requests``: a request's way, from a caller's connection to a runner's;
* ``decisions``: who goes next, where to, who is refused and what may be sent
  again; pure code that takes the present time as an argument;
* ``runners``: what this host believes about runners;
* ``hosts``: what hosts tell each other;
* ``replication``: records of the configuration and of runners, from the
  platform's store or from another host;
* ``process``: the life of one process.

``catalogue`` and ``dialect`` hold the types that an adapter fills; nothing
here knows a platform's names.
"""
