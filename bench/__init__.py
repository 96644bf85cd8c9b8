"""Experiments that measure the deciding systems and the daemons."""
