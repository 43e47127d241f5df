"""The gateway process.

``gateway`` builds and connects all components, runs them under a supervisor
and shuts them down; ``hoststates`` builds the messages to other hosts;
``settings``, ``logwriter`` (log), ``telemetry`` (metrics), ``stalls`` and
``inputerrors`` (what could not be read) serve them.
"""
