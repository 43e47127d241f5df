"""A request's way: from the caller's connection to a runner's and back.

``listener`` takes it, ``exchange`` leads it from its head to its final
answer, ``runnerclient`` and ``streams`` speak with the runner, ``replies``
with the caller. ``habits`` remembers what requests of a route are like.
"""
