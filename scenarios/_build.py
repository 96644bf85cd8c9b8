"""Creates the processes of a fleet and writes their settings files."""

import pathlib
import secrets

import attrs
import yaml

from bilberrydeal import keys

from . import _addresses
from . import _composition
from . import _process
from . import _proxy

#: Host numbers, the last octet of the loopback address.
PLATFORM_HOST = 1
_FIRST_ENTRY_HOST = 10
_FIRST_AGENT_HOST = 20


class Builder:
    """Creates the hosts that a composition describes.

    Example::

        builder = Builder(composition, folder, _addresses.reserve())
        entry = await builder.entry(0)
        entry.process.start()
    """

    def __init__(
        self,
        composition: _composition.Composition,
        folder: pathlib.Path,
        addresses: _addresses.Addresses,
    ) -> None:
        self._composition = composition
        self._folder = folder
        self._addresses = addresses

    def host_address(self, host: _composition.Host) -> str:
        """Return the address that other hosts connect to."""
        if self._composition.proxied:
            return host.front_proxy.address
        return self._addresses.address(host.number)

    def write_secrets(self, operator_key: str, pepper: str) -> None:
        """Write the files from which entries read their secrets."""
        hashed = keys.hash_key(operator_key, b"")
        (self._folder / "pepper").write_text(pepper)
        (self._folder / "operator").write_text(hashed)
        (self._folder / "peer").write_text(secrets.token_hex(16))

    def platform(self) -> _process.Process:
        """Return the platform's process, not started."""
        checks = "checks" if self._composition.checks_fencing else "no-checks"
        return _process.Process(
            name="platform",
            module="standins.platform",
            arguments=(
                f"--port={_addresses.PLATFORM_PORT}",
                f"--address={self._addresses.address(PLATFORM_HOST)}",
                f"--record={self._folder}/platform.jsonl",
                f"--{checks}-fencing",
                "--host-lag-s=0.5",
                "--delivery-s=1.0",
            ),
            log=self._folder / "platform.log",
        )

    async def entry(self, index: int) -> _composition.Host:
        """Return an entry's host with running proxies, not started."""
        name = f"entry-{index}"
        number = _FIRST_ENTRY_HOST + index
        host = await self._build_host(
            name, number, index, None, _addresses.ENTRY_PORTS
        )
        if self._composition.held_call_prefix:
            host.store_proxy.hold_requests(self._composition.held_call_prefix)
        config = self._common_settings(host, "entry") | {
            "http": {"port": _addresses.HTTP_PORT},
            "peer_port": _addresses.PEER_PORT,
            "secrets": {
                "key_hash_file": str(self._folder / "pepper"),
                "operator_key_hash_file": str(self._folder / "operator"),
                "peer_file": str(self._folder / "peer"),
            },
            "usage": {
                "window_s": _composition.WINDOW_S,
                "settle_s": 0.5,
                "grace_s": 1.0,
            },
            "duties": {
                "lease_ttl_s": 3.0,
                "renew_s": 0.8,
                "margin_s": 0.3,
                "round_s": 0.5,
            },
        }
        if self._composition.planning_enabled:
            config["fleet"] = {
                "failure_domains": [f"d{number}" for number in range(4)],
                "services": [_composition.MODEL],
                "fewest_per_domain": self._composition.fewest_per_domain,
                "most_per_domain": self._composition.most_per_domain,
                "delivery_s": 1.0,
            }
        self._write_settings(host, config)
        return host

    async def agent(self, index: int, service: str) -> _composition.Host:
        """Return the host of an agent and its endpoint, not started."""
        number = _FIRST_AGENT_HOST + index
        kind = "engine" if service == _composition.MODEL else "plain"
        name = f"{kind}-{index}"
        endpoint = self._endpoint_process(name, number, kind)
        host = await self._build_host(
            name, number, index, endpoint, _addresses.AGENT_PORTS
        )
        address = self.host_address(host)
        config = self._common_settings(host, "agent") | {
            "endpoint_id": name,
            "control_port": _addresses.CONTROL_PORT,
            "link_ports_from": _addresses.LINK_PORTS_FROM,
            "link_ports": _addresses.LINK_PORTS,
            "guard_port": self._addresses.guard_port(number),
            "metrics_port": _addresses.METRICS_PORT,
            "endpoint": {
                "adapter": "openai_http" if kind == "engine" else "http",
                "url": f"http://{address}:{_addresses.ENDPOINT_PORT}",
            },
            "endpoint_kind": kind,
            "service": service,
            "running_limit": self._composition.running_limit,
            "order_poll_s": 2.0,
        }
        self._write_settings(host, config)
        return host

    def _endpoint_process(
        self, name: str, number: int, kind: str
    ) -> _process.Process:
        arguments = [
            f"--port={_addresses.ENDPOINT_PORT}",
            f"--address={self._addresses.address(number)}",
            f"--record={self._folder / name}.jsonl",
        ]
        if kind == "engine":
            checks = (
                "checks" if self._composition.checks_fencing else "no-checks"
            )
            arguments += [
                f"--model={_composition.MODEL}",
                f"--step-s={self._composition.step_s}",
                f"--change-s={self._composition.change_s}",
                f"--{checks}-fencing",
            ]
        return _process.Process(
            name=name,
            module=f"standins.{kind}",
            arguments=tuple(arguments),
            log=self._folder / f"{name}-endpoint.log",
        )

    async def _build_host(
        self,
        name: str,
        number: int,
        index: int,
        endpoint: _process.Process | None,
        host_ports: tuple[int, ...],
    ) -> _composition.Host:
        front = _proxy.Proxy(
            self._addresses.front(number),
            self._addresses.address(number),
            host_ports,
        )
        store = _proxy.Proxy(
            self._addresses.store(number),
            self._addresses.address(PLATFORM_HOST),
            (_addresses.PLATFORM_PORT,),
        )
        await front.start()
        await store.start()
        return _composition.Host(
            name=name,
            number=number,
            failure_domain=f"d{index % 4}",
            endpoint=endpoint,
            process=_process.Process(
                name=name,
                module="bilberrydeal.daemon",
                arguments=(str(self._folder / f"{name}.yaml"),),
                log=self._folder / f"{name}.log",
            ),
            front_proxy=front,
            store_proxy=store,
            journal=self._folder / f"{name}.jsonl",
        )

    def _common_settings(
        self, host: _composition.Host, role: str
    ) -> dict[str, object]:
        store = f"http://{host.store_proxy.address}:{_addresses.PLATFORM_PORT}"
        services = ("table", "objects", "endpoints", "usage", "hosts")
        return {
            "role": role,
            "host_id": host.name,
            "listen_address": self._addresses.address(host.number),
            "advertise_address": self.host_address(host),
            "failure_domain": host.failure_domain,
            "platform": {
                name: {"adapter": "http_json", "url": store}
                for name in (*services, "weights")
            },
            "membership": {"renew_s": 0.5, "expiry_s": 3.0, "read_s": 0.5},
            "shutdown_bound_s": 30.0,
            "policy": attrs.asdict(self._composition.policy),
        }

    def _write_settings(
        self, host: _composition.Host, config: dict[str, object]
    ) -> None:
        path = self._folder / f"{host.name}.yaml"
        path.write_text(yaml.safe_dump(config))
