"""Scheduling of the requests of a pool on its runners.

``poolservice`` is the scheduler on the owner of a pool, ``poolqueue`` is its
queue, and ``poolclient`` the client on the daemons where requests enter.
"""
