"""Stand-ins for external systems: platform, engines and plain services.

They are small fakes at the interfaces, for tests and the demo, not a
simulator. Each is an ASGI application in a process of its own. Faults are
set over HTTP under ``/standin/``, so that a test can inject them into another
process. ``python -m apricotstandins`` starts them.
"""
