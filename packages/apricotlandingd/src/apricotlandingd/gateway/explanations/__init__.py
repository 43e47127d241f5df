"""Where a request would go now, and why, for operators.

The decision is made by its own code on copies of its state (``statecopies``),
so nothing is sent, counted or logged by it. ``page`` is the
interface, ``questions`` reads what an operator asks, ``trials`` makes the
decision, and ``tables`` and ``explainer`` describe it.
"""
