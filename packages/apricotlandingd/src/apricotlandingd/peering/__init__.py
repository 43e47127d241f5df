"""Connections between daemons."""
