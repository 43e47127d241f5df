"""The path of a request: from the caller's connection to a runner and back.

``listener`` receives it, ``admission`` admits it, ``queueentries`` describes
it to the scheduler, ``placewaits`` waits for its slots, and ``exchange`` takes
it to its final answer. ``runnerclients``, ``runnerclient`` and ``streams``
talk to the runner, ``inactivity`` sets the timeouts after which the runner is
abandoned, and ``replies`` answers the caller. ``routestats`` keeps statistics
of each route's requests; ``sharedstate`` is what all requests share.
"""
