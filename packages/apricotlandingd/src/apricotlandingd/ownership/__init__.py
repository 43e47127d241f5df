"""Who owns a shard, and the claims that its owner keeps.

``shardview`` reads ownership from the log, ``leases`` and ``owners`` hold and
change it, ``claims`` and ``claimtable`` are what a claim owner does.
"""
