"""Stand-ins for what lies outside: platform, engines and plain services.

They are small fakes at the interfaces, for tests and for the demo, and not a
simulator. Each is an ASGI application that one process serves; faults are
set over HTTP under ``/standin/``, so that a test can bring them about in a
process that it did not write. ``python -m apricotstandins`` starts them.
"""
