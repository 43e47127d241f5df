"""Gateway that forwards requests of a platform's callers to runners.

This package is the daemon for a platform that keeps configuration and runner
registrations in its own store. Its subpackages:

* ``requests``: the path of a request from a caller's connection to a runner's;
* ``decisions``: order of requests, choice of runners, refusals and retries;
  pure code that takes the current time as an argument;
* ``runners``: this host's view of the runners;
* ``hosts``: messages between hosts;
* ``explanations``: where a request would go now, for operators;
* ``replication``: records of the configuration and of runners, from the
  platform's store or from another host;
* ``process``: start, settings, log, metrics and shutdown of the process.

``catalogue`` and ``dialect`` define the types that an adapter implements or
fills; nothing here depends on a platform's names.
"""
