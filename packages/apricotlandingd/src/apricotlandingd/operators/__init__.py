"""The interface for operators."""
