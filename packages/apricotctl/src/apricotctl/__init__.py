"""The operators' client.

``command`` has the commands as people type them, ``client`` talks to a
daemon's operator listener, and ``bundlefiles`` reads, signs and compares
bundles on disk.
"""
