"""The gateway: an entry process that sends to the endpoints directly.

Its packages, each of which imports only those above it and the modules here:

- ``core``: requests and their progress, metrics
- ``messaging``: datagrams between gateways
- ``cluster_state``: the configuration and the endpoints, read from the store
- ``peer_exchange``: what gateways tell each other about endpoints
- ``accounting``: usage counts, windows and their reports
- ``duties``: work under the lease
- ``sending``: one request to one endpoint, within limits and budgets
- ``streams``: streaming requests, over several engines if need be
- ``serving``: admission, plain requests and the log of each request
"""

from ._process import run

__all__ = ["run"]
