"""Roll-outs: the traffic of a service moves to runners of another release.

``orders`` has the operators' orders and the statuses that answer them.
``participant`` is each host's part: it chooses the pool of each request and
reports what it observes. ``decider`` is the part of the one host that decides
for a service, ``statuswriter`` stores its decisions, and ``rollouts`` connects
them with the other hosts.
"""
