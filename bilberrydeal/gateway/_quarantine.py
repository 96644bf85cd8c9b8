"""Keeps requests from engines whose prompt parts crash them."""

import collections.abc
import random

from .. import errors
from .. import settings
from .. import telemetry
from ..systems import quarantine
from . import _cluster_state
from . import _datagrams
from . import _metrics
from . import _requests

LOG = telemetry.logger("quarantine")
#: Interval between decisions, and between datagrams, in seconds.
INTERVAL_S = 0.1
#: Longest Retry-After of a refusal, in seconds.
RETRY_AFTER_LIMIT_S = 30.0
#: A stream whose first event arrived this long before its engine was lost did
#: not crash it, in seconds.
BEGINNING_S = 0.5
#: Time after the first event when a stream counts as sound, in seconds.
SOUND_AFTER_S = 1.0
#: How often a gateway that has started asks others, and how many.
ASKS = 3
ASKED_PEERS = 3
#: Interval between these questions, in seconds.
ASK_INTERVAL_S = 0.3

Clock = collections.abc.Callable[[], float]

_TEXTS = {
    quarantine.DecisionKind.SUSPECTED: "Prompt part suspected.",
    quarantine.DecisionKind.QUARANTINED: "Prompt parts quarantined.",
    quarantine.DecisionKind.ENDED: "Quarantine ended.",
}


class PartQuarantine:
    """Collects evidence against prompt parts and refuses their requests."""

    def __init__(
        self,
        system: quarantine.QuarantineSystem,
        datagrams: _datagrams.Datagrams,
        gateway: str,
        address: str,
        peers: _datagrams.Peers,
        may_probe: collections.abc.Callable[[], bool],
        metrics: _metrics.GatewayMetrics,
        rng: random.Random,
        clock: Clock,
    ) -> None:
        self._system = system
        self._datagrams = datagrams
        self._gateway = gateway
        self._address = address
        self._peers = peers
        self._may_probe = may_probe
        self._metrics = metrics
        self._rng = rng
        self._clock = clock
        self._asked = 0
        self._asked_s = float("-inf")
        datagrams.subscribe(self._on_datagram)

    def engine_lost(
        self,
        upstream: _cluster_state.Upstream,
        admitted: _requests.AdmittedRequest,
        record: _requests.SendRecord,
        started: bool,
    ) -> None:
        """Record that the connection to an engine broke under a stream."""
        if admitted.prompt is None:
            return
        now_s = self._clock()
        *shared, own = _part_ids(admitted)
        if record.first_ms is not None:
            first_s = admitted.request.started_s + record.first_ms / 1000
            if now_s - first_s >= BEGINNING_S:
                shared = []
        loss = quarantine.EngineLoss(
            _process_of(upstream),
            upstream.endpoint.failure_domain,
            quarantine.SuspectPrompt(own, tuple(shared), started),
        )
        self._system.observe_loss(loss, now_s)

    def engine_responded(
        self, upstream: _cluster_state.Upstream, sent_s: float
    ) -> None:
        """Record that an engine responded to a request sent at a time."""
        self._system.observe_response(
            _process_of(upstream), sent_s, self._clock()
        )

    def stream_sound(self, admitted: _requests.AdmittedRequest) -> None:
        """Record that a stream was completed, or has gone on for a while."""
        if admitted.prompt is not None:
            self._system.observe_sound(_part_ids(admitted), self._clock())

    def check(
        self,
        admitted: _requests.AdmittedRequest,
        progress: _requests.RequestProgress,
    ) -> None:
        """Refuse a request with quarantined parts; raises ``Refusal``."""
        if admitted.prompt is None:
            return
        now_s = self._clock()
        found = self._system.find(_part_ids(admitted), now_s)
        if found is None:
            return
        request = admitted.request_id.decode("latin-1")
        if (
            not progress.sends
            and self._may_probe()
            and self._system.probe(found, now_s)
        ):
            progress.probes_quarantine = True
            LOG.info(
                "Quarantine probed.", request=request, parts=_texts(found)
            )
        if progress.probes_quarantine and not progress.may_have_run:
            return
        message = f"quarantined prompt parts {' '.join(_texts(found))}"
        if progress.may_have_run:
            raise _requests.failure_refusal(progress, message)
        left_s = found.renewed_s + quarantine.PROBE_INTERVAL_S - now_s
        raise _requests.not_run_refusal(
            errors.ErrorCode.PROMPT_QUARANTINED,
            message,
            min(max(left_s, 1.0), RETRY_AFTER_LIMIT_S),
        )

    def check_retry(
        self,
        admitted: _requests.AdmittedRequest,
        progress: _requests.RequestProgress,
        reason: str,
    ) -> None:
        """Keep a request that may crash a second engine from it.

        Raises ``Refusal``.
        """
        if admitted.prompt is None or progress.sends[-1].first_ms is not None:
            return
        if self._system.suspects(_part_ids(admitted), self._clock()):
            raise _requests.failure_refusal(
                progress, f"{reason}, suspected prompt part"
            )

    def in_force(self) -> tuple[quarantine.Quarantine, ...]:
        """Return the quarantines in force."""
        return self._system.quarantines(self._clock())

    def restore(self, found: quarantine.Quarantine) -> None:
        """Add a quarantine that was stored."""
        self._system.restore(found, self._clock())

    async def run_once(self) -> None:
        """Decide, and tell other gateways."""
        now_s = self._clock()
        for decision in self._system.run(now_s):
            self._metrics.count_quarantine_decision(decision.kind.value)
            LOG.info(
                _TEXTS[decision.kind],
                parts=[_text(part) for part in decision.parts],
                crashes=decision.crashes,
                engines=list(decision.engines),
                learned=decision.learned,
            )
        peers = self._peers()
        if not peers:
            return
        self._ask(peers, now_s)
        news = self._system.news(len(peers) + 1, now_s)
        if not news.empty:
            self._datagrams.send(
                _datagrams.Datagram(self._gateway, news=news), peers
            )

    def _ask(
        self, peers: tuple[_datagrams.Address, ...], now_s: float
    ) -> None:
        """Ask some gateways for what was decided before the start."""
        if self._asked >= ASKS or now_s - self._asked_s < ASK_INTERVAL_S:
            return
        self._asked += 1
        self._asked_s = now_s
        asked = self._rng.sample(peers, min(ASKED_PEERS, len(peers)))
        self._datagrams.send(
            _datagrams.Datagram(self._gateway, asks=self._address), asked
        )

    def _on_datagram(self, datagram: _datagrams.Datagram) -> None:
        now_s = self._clock()
        if datagram.news is not None:
            self._system.learn(datagram.news, now_s)
        if datagram.asks:
            summary = self._system.summary(now_s)
            if not summary.empty:
                self._datagrams.send(
                    _datagrams.Datagram(self._gateway, news=summary),
                    [settings.split_address(datagram.asks)],
                )


def _process_of(upstream: _cluster_state.Upstream) -> str:
    """Return an id of this run of an engine."""
    endpoint = upstream.endpoint
    return f"{endpoint.endpoint_id}@{endpoint.started_ms}"


def _part_ids(admitted: _requests.AdmittedRequest) -> tuple[bytes, ...]:
    prompt = admitted.prompt or _requests.NO_PROMPT
    return tuple(part.part_id for part in prompt.parts)


def _text(part: bytes) -> str:
    return part.decode("latin-1")


def _texts(found: quarantine.Quarantine) -> list[str]:
    return sorted(map(_text, found.parts))
