"""What the processes of apricotlanding share.

Start reading with ``ids`` and ``errors``, then ``bundle`` (what operators
configure), ``records`` (what the platform's log carries) and ``wire`` (what
daemons tell each other). The daemon itself is the package
``apricotlandingd``, the operators' client ``apricotctl``.

Only what every process needs is re-exported: importing ``bundle`` here would
load the signature library into hosts of a platform that signs nothing.
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
