"""Which version of a service's software began a stream.

Runners of several versions may serve side by side, and what two versions write
does not fit together. The host that forwards a stream's first event tells a
few other hosts, so that any host at which the caller takes the stream up later
can find out; see docs/design/stream-versions.md.
"""
