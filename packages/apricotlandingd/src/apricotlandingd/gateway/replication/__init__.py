"""Records of the configuration and of runners, copied to every host.

``records`` merges what comes by offset. ``storereader`` follows the platform's
store, for as long as ``timing`` says, and ``freshness`` knows when its answers
are too old. ``recordexchange`` hands records on from host to host, and
``catchup`` asks for them.
"""
