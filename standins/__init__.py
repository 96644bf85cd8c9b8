"""Stand-ins of the platform and the engines, for tests and demos."""
