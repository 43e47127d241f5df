"""A request of the product's own interface, from its caller to its runner.

Read ``entry``, ``admission``, ``runs``, ``relay`` and ``answers`` in this
order.
"""
