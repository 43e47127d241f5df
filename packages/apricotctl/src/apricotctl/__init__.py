"""Command-line client for operators.

``command`` defines the commands, ``client`` calls a daemon's operator
listener, and ``bundlefiles`` reads, signs and compares bundles on disk.
"""
