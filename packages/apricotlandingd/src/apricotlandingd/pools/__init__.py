"""Which request of a pool goes next, and to which runner.

``poolservice`` is what the owner of a pool does, ``poolqueue`` its queue, and
``poolclient`` the side of the daemons that wait.
"""
