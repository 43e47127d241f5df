"""The path of a request of the native API, from its caller to its runner.

The modules in the order in which a request passes them: ``entry``,
``admission``, ``runs``, ``relay`` and ``answers``.
"""
