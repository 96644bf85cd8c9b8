"""End-to-end scenarios: real processes behind fault-injecting proxies."""
