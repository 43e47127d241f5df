"""The daemon that every entry host runs.

Two ways to run it:

* ``gateway`` is the daemon on a platform that keeps configuration and
  registrations itself; start with its package text.
* ``daemon`` is the daemon with the product's own interface. Follow one
  request: ``requests.entry`` takes it from its caller, ``requests.admission``
  checks it, ``requests.runs`` carries it through ``ownership.claims`` (who may
  run this key), ``pools.poolclient`` (which runner has room) and
  ``requests.relay`` (the call to the runner), and ``requests.answers`` keeps
  what comes back.

What daemons of the second kind agree on goes through the platform's log:
``configuration`` reads and appends, ``ownership`` decides who owns what,
``pools`` schedules, ``peering`` connects, ``operators`` serves apricotctl.
A gateway imports none of it.
"""
