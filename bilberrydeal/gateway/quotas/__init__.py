"""Applies organisations' quotas to requests, over datagrams."""

from ._service import Listing
from ._service import Quotas

__all__ = ["Listing", "Quotas"]
