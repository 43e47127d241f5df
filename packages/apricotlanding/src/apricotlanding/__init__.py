"""Library shared by all processes of apricotlanding.

Start reading with ``ids`` and ``errors``, then ``bundle`` (what operators
configure), ``records`` (records of the platform's log) and ``wire`` (messages
between daemons). The daemon is the package ``apricotlandingd``, the client for
operators is ``apricotctl``.

Only names that every process needs are re-exported: importing ``bundle`` here
would load the signature library on hosts of a platform that does not sign
bundles.
"""

from apricotlanding.errors import Kind
from apricotlanding.errors import Outcome
from apricotlanding.errors import Problem
from apricotlanding.errors import Refused

__all__ = [
    'Kind',
    'Outcome',
    'Problem',
    'Refused',
]
