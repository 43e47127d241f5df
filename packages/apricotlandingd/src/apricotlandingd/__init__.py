"""The daemon that every entry host runs.

It has two variants:

* ``gateway`` is the daemon for a platform that stores configuration and
  registrations itself; start with the docstring of its package.
* ``daemon`` is the daemon with the native API. A request passes these modules:
  ``requests.entry`` receives it from its caller, ``requests.admission`` checks
  it, and ``requests.runs`` runs it with ``ownership.claims`` (which daemon may
  run the key), ``pools.poolclient`` (which runner has a free slot) and
  ``requests.relay`` (the call to the runner); ``requests.answers`` stores the
  answer.

Daemons of the second variant share their state through the platform's log:
``configuration`` reads and appends records, ``ownership`` assigns shards to
owners, ``pools`` schedules, ``peering`` connects the daemons and ``operators``
serves apricotctl. A gateway imports none of these packages.
"""
