"""What hosts tell each other.

``mesh`` sends and hears states, ``messages`` holds their types, ``groups``
tells which hosts and runners schedule together.
"""
