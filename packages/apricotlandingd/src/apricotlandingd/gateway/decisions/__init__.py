"""Scheduling and admission decisions, without network access.

``queueing`` orders the waiting requests, ``placement`` chooses a runner,
``heldslots`` counts the slots in use and ``scheduler`` combines the three.
``subsets`` divides the runners between the hosts that schedule them.
``quotas`` and ``groupusage`` limit what an organisation uses.
``logratelimit`` limits the log messages about bad input. All functions take
the current time as an argument.
"""
