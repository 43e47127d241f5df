"""The log of the platform and the signed configuration that it carries."""
