"""What the processes of apricotlanding share.

Start reading with ``ids`` and ``errors``, then ``bundle`` (what operators
configure), ``records`` (what the platform's log carries) and ``wire`` (what
daemons tell each other). The daemon itself is the package
``apricotlandingd``, the operators' client ``apricotctl``.
"""

from apricotlanding.bundle import Bundle
from apricotlanding.bundle import check_bundle
from apricotlanding.errors import Kind
from apricotlanding.errors import Outcome
from apricotlanding.errors import Problem
from apricotlanding.errors import Refused

__all__ = [
    'Bundle',
    'Kind',
    'Outcome',
    'Problem',
    'Refused',
    'check_bundle',
]
