"""State exchanged between hosts, and what one host coordinates for all.

``mesh`` exchanges states, ``messages`` declares them, and ``groups`` decides
which hosts exchange every change. In a large system ``dispatch`` requests
places at runners and ``coordinator`` grants them; a place is one request slot
at a runner. ``sharedallowances`` requests units of an organisation's allowance
and grants them. ``candidates`` chooses the coordinators, and
``placemessages`` and ``allowancemessages`` declare their messages.
``allowances`` is a host's own copy of the allowances.
"""
