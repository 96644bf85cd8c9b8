"""Usage counters of one request."""

import attrs


@attrs.define
class Meter:
    """Counts usage while a request runs; read after it has ended."""

    #: Prompt tokens computed.
    prompt_tokens: int = 0
    #: Prompt tokens found in the cache.
    cached_tokens: int = 0
    #: Tokens generated.
    output_tokens: int = 0
    #: Calls made.
    calls: int = 0
