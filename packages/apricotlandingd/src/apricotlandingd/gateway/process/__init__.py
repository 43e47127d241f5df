"""The life of one process: its settings, its parts, its log and its end.

``gateway`` builds and ties all parts and runs them under a supervisor;
``settings``, ``logwriter`` (log), ``telemetry`` (metrics), ``stalls`` and
``inputerrors`` (what could not be read) serve them.
"""
