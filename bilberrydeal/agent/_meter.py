"""What one request used so far."""

import attrs


@attrs.define
class Meter:
    """Counts while a request runs; read when it has ended."""

    #: Prompt tokens computed.
    prompt_tokens: int = 0
    #: Prompt tokens found in the cache.
    cached_tokens: int = 0
    #: Tokens generated.
    output_tokens: int = 0
    #: Calls.
    calls: int = 0
