"""Records of the configuration and of runners, copied to every host.

``records`` merges what comes by offset; ``storereader`` follows the
platform's store; ``recordexchange`` hands records on from host to host.
"""
