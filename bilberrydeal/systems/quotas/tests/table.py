"""Prints the share of wrong rejections and how much of a limit is used.

Run as ``python -m bilberrydeal.systems.quotas.tests.table``.
"""

from . import test_fleet

#: Offered load over the limit: on average, close to it, and far over it.
LOADS = (1 / 1.8, 0.9, 10.0)


def main() -> None:
    """Print one line for each kind of quota, fleet and disturbance."""
    print("| quota | gateways | disturbance | 0.56 | 0.9 | worst | 10 used |")
    print("| --- | --- | --- | --- | --- | --- | --- |")
    kinds = {
        "200,000/s": test_fleet.LARGE,
        "29,000/s": test_fleet.SMALL,
        "100 req/s": test_fleet.REQUESTS,
    }
    for label, (quota, cost) in kinds.items():
        for gateways, skew in ((2, 0.7), (5, 0.7), (24, 0.3)):
            for name, disturbance in test_fleet.DISTURBANCES.items():
                cells: list[str] = []
                for load in LOADS:
                    played = test_fleet.play(
                        gateways, quota, cost, load, skew, disturbance
                    )
                    if load < 1.0:
                        wrong = played.wrongly_rejected(3.0)
                        cells.append(f"{100 * wrong:.2f}%")
                        continue
                    seconds = test_fleet.PLAY_S - 5.0
                    granted = sum(
                        each.cost
                        for each in played.requests
                        if each.granted and each.decided_s >= 5.0
                    )
                    used = granted / seconds / quota.rate_per_s
                    cells.append(f"{played.worst():.2f}")
                    cells.append(f"{used:.2f}")
                row = " | ".join([label, str(gateways), name, *cells])
                print(f"| {row} |", flush=True)


if __name__ == "__main__":
    main()
