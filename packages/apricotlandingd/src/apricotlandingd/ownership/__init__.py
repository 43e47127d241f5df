"""Ownership of shards, and the claims that their owners keep.

``shardview`` reads ownership from the log, ``leases`` and ``owners`` hold and
change it, ``claims`` and ``claimtable`` are the owner's side of claims.
"""
