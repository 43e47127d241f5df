"""A request's way: from the caller's connection to a runner's and back.

``listener`` takes it, ``admission`` lets it in, ``exchange`` leads it to its
final answer; ``runnerclients``, ``runnerclient`` and ``streams`` speak with
the runner, ``inactivity`` tells when to leave it, ``replies`` speaks with the
caller. ``routestats`` remembers what requests of a route are like; ``parts`` is
what all requests share.
"""
