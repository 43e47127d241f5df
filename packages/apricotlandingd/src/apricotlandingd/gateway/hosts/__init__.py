"""What hosts tell each other, and what one host keeps for all.

``mesh`` sends and hears states, ``messages`` holds their types, ``groups``
tells which hosts hear each other at once. In a large system ``dispatch`` asks
for places at runners and ``coordinator`` grants them, ``sharedallowances``
asks for units of allowances and hands them out, and ``candidates`` says whom
to ask; ``placemessages`` and ``allowancemessages`` hold what they say.
``allowances`` is what a host knows of allowances by itself.
"""
