"""Records of the configuration and of runners, copied to every host.

``records`` follows the platform's store and merges what comes by offset;
``recordexchange`` hands records on from host to host.
"""
