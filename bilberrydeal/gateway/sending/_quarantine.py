"""Keeps requests from endpoints that they, or their parts, crash."""

import collections.abc
import random

from ... import decoding
from ... import errors
from ... import telemetry
from ...systems import quarantine
from .. import cluster_state
from .. import core
from .. import messaging
from . import _abandoned

LOG = telemetry.logger("quarantine")
#: Interval between decisions, and between datagrams, in seconds.
QUARANTINE_INTERVAL_S = 0.1
#: Longest Retry-After of a refusal, in seconds.
RETRY_AFTER_LIMIT_S = 30.0
#: A stream whose first event arrived this long before its engine was lost did
#: not crash it, in seconds.
STREAM_BEGINNING_S = 0.5
#: Time after the first event when a prompt counts as sound, in seconds.
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
_REQUEST_TEXTS = {
    quarantine.DecisionKind.SUSPECTED: "Request suspected.",
    quarantine.DecisionKind.QUARANTINED: "Request quarantined.",
    quarantine.DecisionKind.ENDED: "Quarantine of a request ended.",
}


class RequestQuarantine:
    """Collects evidence against requests and their parts; refuses them."""

    def __init__(
        self,
        system: quarantine.QuarantineSystem,
        datagrams: messaging.Datagrams,
        gateway: str,
        address: str,
        peers: messaging.Peers,
        may_probe: collections.abc.Callable[[], bool],
        metrics: core.GatewayMetrics,
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
        self._abandoned = _abandoned.AbandonedRuns()
        self._asked = 0
        self._asked_s = float("-inf")
        datagrams.subscribe(self._on_datagram)

    def endpoint_lost(
        self,
        upstream: cluster_state.Upstream,
        admitted: core.AdmittedRequest,
        started: bool,
        sent_s: float,
        first_s: float | None,
    ) -> None:
        """Record that the connection to an endpoint broke under a request.

        ``started`` tells whether its head had arrived, ``sent_s`` when it was
        sent and ``first_s`` when its first event arrived. A part of a prompt
        does no harm once a stream has begun, a request may do it at any time.
        """
        now_s = self._clock()
        began = first_s is not None and now_s - first_s >= STREAM_BEGINNING_S
        for *shared, own in _prompt_suspects(admitted):
            suspect = quarantine.SuspectPrompt(
                own, () if began else tuple(shared), started
            )
            self._observe_loss(upstream, suspect, sent_s, now_s)
        for *shared, own in _request_suspects(admitted):
            suspect = quarantine.SuspectPrompt(own, tuple(shared), started)
            self._observe_loss(upstream, suspect, sent_s, now_s)
        self.endpoint_gone(upstream)

    def endpoint_gone(self, upstream: cluster_state.Upstream) -> None:
        """Suspect the requests that were abandoned at a lost endpoint."""
        now_s = self._clock()
        for run in self._abandoned.take(_process_of(upstream), now_s):
            for *shared, own in run.suspects:
                suspect = quarantine.SuspectPrompt(
                    own, tuple(shared), run.started
                )
                self._observe_loss(upstream, suspect, run.sent_s, now_s)

    def request_abandoned(
        self,
        upstream: cluster_state.Upstream,
        admitted: core.AdmittedRequest,
        started: bool,
        sent_s: float,
    ) -> None:
        """Record that nobody waits any longer for what an endpoint runs."""
        self._abandoned.add(
            _abandoned.AbandonedRun(
                _process_of(upstream),
                tuple(_request_suspects(admitted)),
                started,
                sent_s,
                self._clock(),
            )
        )

    def _observe_loss(
        self,
        upstream: cluster_state.Upstream,
        suspect: quarantine.SuspectPrompt,
        sent_s: float,
        now_s: float,
    ) -> None:
        loss = quarantine.EngineLoss(
            _process_of(upstream),
            upstream.endpoint.failure_domain,
            suspect,
            sent_s,
        )
        self._system.observe_loss(loss, now_s)

    def endpoint_responded(
        self, upstream: cluster_state.Upstream, sent_s: float
    ) -> None:
        """Record that an endpoint responded to a request sent at a time."""
        self._system.observe_response(
            _process_of(upstream), sent_s, self._clock()
        )

    def endpoint_restarted(self, upstream: cluster_state.Upstream) -> None:
        """Record that an endpoint has ended and started again."""
        self.endpoint_gone(upstream)
        self._system.observe_end(_process_of(upstream), self._clock())

    def request_sound(self, admitted: core.AdmittedRequest) -> None:
        """Record that a request was completed."""
        for parts in _suspects(admitted):
            self._system.observe_sound(parts, self._clock())

    def prompt_sound(self, admitted: core.AdmittedRequest) -> None:
        """Record that a stream has gone on for a while.

        This proves nothing of the request: it may crash its engine later.
        """
        for parts in _prompt_suspects(admitted):
            self._system.observe_sound(parts, self._clock())

    def request_ended(
        self,
        upstream: cluster_state.Upstream,
        admitted: core.AdmittedRequest,
    ) -> None:
        """Record that a response ended with its connection.

        It may be that of an endpoint that was lost.
        """
        for parts in _suspects(admitted):
            self._system.observe_unproven_end(
                _process_of(upstream), parts, self._clock()
            )

    def check(
        self,
        admitted: core.AdmittedRequest,
        progress: core.RequestProgress,
    ) -> None:
        """Refuse a request in quarantine; raises ``Refusal``.

        That is one with quarantined parts, or one that is so itself. One that
        lost its endpoint before its first event is also refused if it is
        suspected.
        """
        now_s = self._clock()
        found = self._find(admitted, now_s)
        if found is None:
            self._check_suspected(admitted, progress, now_s)
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
        parts = " ".join(_texts(found))
        reason = errors.ErrorCode.PROMPT_QUARANTINED
        message = f"quarantined prompt parts {parts}"
        if found.of_request:
            reason = errors.ErrorCode.REQUEST_QUARANTINED
            message = f"quarantined request {parts}"
        if progress.may_have_run:
            raise core.failure_refusal(progress, message)
        left_s = found.renewed_s + quarantine.PROBE_INTERVAL_S - now_s
        raise core.not_run_refusal(
            reason,
            message,
            min(max(left_s, 1.0), RETRY_AFTER_LIMIT_S),
        )

    def _find(
        self, admitted: core.AdmittedRequest, now_s: float
    ) -> quarantine.Quarantine | None:
        """Return the quarantine that keeps a request from endpoints."""
        if not self._system.quarantines(now_s):
            return None
        for parts in _suspects(admitted):
            found = self._system.find(parts, now_s)
            if found is not None:
                return found
        return None

    def _check_suspected(
        self,
        admitted: core.AdmittedRequest,
        progress: core.RequestProgress,
        now_s: float,
    ) -> None:
        if not progress.may_have_run or any(
            send.first_ms is not None for send in progress.sends
        ):
            return
        if any(
            self._system.suspects(parts, now_s)
            for parts in _suspects(admitted)
        ):
            raise core.failure_refusal(
                progress, "suspected of crashing endpoints"
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
            texts = _REQUEST_TEXTS if decision.of_request else _TEXTS
            LOG.info(
                texts[decision.kind],
                parts=[_text(part) for part in decision.parts],
                crashes=decision.crashes,
                engines=list(decision.engines),
                learned=decision.learned,
            )
        peers = self._peers()
        if not peers:
            return
        self._ask(peers, now_s)
        self._tell(self._system.news(len(peers) + 1, now_s), peers)

    def _tell(
        self, news: quarantine.News, peers: tuple[messaging.Address, ...]
    ) -> None:
        for each in quarantine.datagrams(news):
            self._datagrams.send(
                messaging.Datagram(self._gateway, news=each), peers
            )

    def _ask(self, peers: tuple[messaging.Address, ...], now_s: float) -> None:
        """Ask some gateways for what was decided before the start."""
        if self._asked >= ASKS or now_s - self._asked_s < ASK_INTERVAL_S:
            return
        self._asked += 1
        self._asked_s = now_s
        asked = self._rng.sample(peers, min(ASKED_PEERS, len(peers)))
        self._datagrams.send(
            messaging.Datagram(self._gateway, asks=self._address), asked
        )

    def _on_datagram(self, datagram: messaging.Datagram) -> None:
        now_s = self._clock()
        if datagram.news is not None:
            self._system.learn(datagram.news, now_s)
        if datagram.asks:
            asking = decoding.split_address(datagram.asks)
            self._tell(self._system.summary(now_s), (asking,))


def _process_of(upstream: cluster_state.Upstream) -> str:
    """Return an id of this run of an engine."""
    endpoint = upstream.endpoint
    return f"{endpoint.endpoint_id}@{endpoint.started_ms}"


def _suspects(
    admitted: core.AdmittedRequest,
) -> list[quarantine.Parts]:
    """Return what may crash an endpoint: the prompt's parts, the request."""
    return [*_prompt_suspects(admitted), *_request_suspects(admitted)]


def _prompt_suspects(
    admitted: core.AdmittedRequest,
) -> list[quarantine.Parts]:
    """Return the parts of the prompt, if there is one."""
    if admitted.prompt is None:
        return []
    parts = (part.part_id for part in admitted.prompt.parts)
    return [quarantine.prompt_parts(parts)]


def _request_suspects(
    admitted: core.AdmittedRequest,
) -> list[quarantine.Parts]:
    """Return what stands for the request, which may have another query."""
    suspects = [quarantine.request_parts(admitted.fingerprint)]
    if admitted.path_fingerprint != admitted.fingerprint:
        suspects.append(quarantine.request_parts(admitted.path_fingerprint))
    return suspects


def _text(part: bytes) -> str:
    return quarantine.name_of(part).decode("latin-1")


def _texts(found: quarantine.Quarantine) -> list[str]:
    return sorted(map(_text, found.parts))
