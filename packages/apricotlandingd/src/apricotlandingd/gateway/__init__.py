"""The entry of a platform's callers: forwards requests to runners.

This package is the daemon as it runs on a platform that keeps configuration
and runner registrations in its own store. A request's way, top to bottom:

* ``listener``: HTTP from callers, the readiness check, metrics;
* ``exchange``: one request, from its head to its final answer;
* ``quotas``, ``waiting``, ``placement``, ``secondsends``: the decisions,
  pure code that takes the present time as an argument;
* ``scheduler``: applies them to the requests that wait here;
* ``runnerclient``, ``streams``: the call to a runner.

What hosts share comes by ``records`` (configuration and runners, from the
platform's store or from peers) and ``mesh`` (what each host uses and wants).
``catalogue`` and ``dialect`` hold the types that an adapter fills; nothing
here knows a platform's names.
"""
