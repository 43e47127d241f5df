"""The daemon that every entry host runs.

A newcomer reads ``daemon`` (the supervisor tree) first, then follows one
request: ``entry`` takes it from its caller, ``admission`` checks it, ``runs``
carries it through ``claims`` (who may run this key), ``poolclient`` (which
runner has room) and ``relay`` (the call to the runner), and ``answers``
keeps what comes back.

What the daemons agree on goes through the platform's log: ``logfollower``
reads and appends, ``shardview`` decides who owns what, ``leases`` and
``owners`` hold and change ownership, ``bundlestore`` holds the
configuration. ``claimtable`` and ``poolqueue`` are what an owner does.
"""
