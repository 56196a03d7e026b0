"""The named deployments that the demo, the tests and the measurements start."""

from dataclasses import dataclass
from pathlib import Path

EXAMPLES = Path(__file__).resolve().parent.parent / "examples"


@dataclass(frozen=True, slots=True)
class UpstreamPlan:
    """An upstream and its agent.

    Parameters
    ----------
    instance : str
        Name of the instance that runs both.
    pool : str
        Pool of upstreams, as named in the sheet.
    kind : str
        ``model`` or ``plain``.
    failure_domain : str
        Failure domain of the instance.
    arguments : tuple of str
        Further command-line arguments of the stand-in.
    n_places : int
        Initial number of places, the limit of concurrent requests.
    enforces_fencing : bool
        Whether the upstream rejects commands with an old fencing token.
    """

    instance: str
    pool: str
    kind: str
    failure_domain: str
    arguments: tuple[str, ...] = ()
    n_places: int = 8
    enforces_fencing: bool = False


@dataclass(frozen=True, slots=True)
class EntryPlan:
    """An entry and its failure domain."""

    instance: str
    failure_domain: str


@dataclass(frozen=True, slots=True)
class Deployment:
    """The upstreams and entries of a deployment, and its planning sheet.

    Parameters
    ----------
    name : str
        Name of the deployment.
    regions : dict of str to str
        Region of each failure domain.
    upstreams : tuple of UpstreamPlan
        All upstreams.
    entries : tuple of EntryPlan
        All entries.
    sheet : Path
        Planning sheet in CSV.
    """

    name: str
    regions: dict[str, str]
    upstreams: tuple[UpstreamPlan, ...]
    entries: tuple[EntryPlan, ...]
    sheet: Path


def _engine(
    pool: str, number: int, domain: str, model: str, speed: float, fencing: bool
) -> UpstreamPlan:
    # The batch is as large as the largest number of places. Thus the token gap
    # limits the concurrency, and no queue forms in the engine.
    arguments = (
        f"--models={model}",
        f"--speed={speed}",
        "--max_batch=64",
        f"--fencing={'enforce' if fencing else 'ignore'}",
    )
    return UpstreamPlan(
        f"{pool}-{number}", pool, "model", domain, arguments, 8, fencing
    )


def _engines(
    pool: str, model: str, domains: tuple[str, ...], speeds: tuple[float, ...]
) -> tuple[UpstreamPlan, ...]:
    return tuple(
        # Every third engine ignores fencing tokens, as on the platform.
        _engine(pool, i + 1, domains[i % len(domains)], model, speed, i % 3 != 2)
        for i, speed in enumerate(speeds)
    )


def _plains(pool: str, domains: tuple[str, ...], n: int) -> tuple[UpstreamPlan, ...]:
    return tuple(
        UpstreamPlan(f"{pool}-{i + 1}", pool, "plain", domains[i % len(domains)])
        for i in range(n)
    )


def _entries(domains: tuple[str, ...]) -> tuple[EntryPlan, ...]:
    return tuple(EntryPlan(f"entry-{i + 1}", d) for i, d in enumerate(domains))


_SAURASHTRA = ("kathiawar-1", "kathiawar-2", "kutch-1")
_ASHCOMBE = ("midlands-1", "midlands-2", "essex-1")

DEPLOYMENTS = {
    deployment.name: deployment
    for deployment in (
        Deployment(
            "saurashtra",
            {
                "kathiawar-1": "kathiawar",
                "kathiawar-2": "kathiawar",
                "kutch-1": "kutch",
            },
            _engines(
                "drafting",
                "trail-draft-8b",
                _SAURASHTRA,
                (2.0, 2.0, 1.5, 1.5, 1.0, 1.0, 1.0, 0.7, 0.7, 0.5),
            )
            + _plains("press-desk", _SAURASHTRA, 3),
            _entries(("kathiawar-1", "kathiawar-2")),
            EXAMPLES / "saurashtra" / "sheet.csv",
        ),
        Deployment(
            "ashcombe",
            {"midlands-1": "midlands", "midlands-2": "midlands", "essex-1": "essex"},
            _engines("model", "willow-13b", _ASHCOMBE, (2.0, 1.5, 1.0, 1.0, 0.5))
            + _plains("ledger", _ASHCOMBE, 3),
            _entries(("midlands-1", "midlands-2")),
            EXAMPLES / "ashcombe" / "sheet.csv",
        ),
        Deployment(
            "tiny",
            {"midlands-1": "midlands", "essex-1": "essex"},
            _engines("model", "willow-13b", ("midlands-1", "essex-1"), (4.0, 2.0))
            + _plains("ledger", ("midlands-1",), 1),
            _entries(("midlands-1", "essex-1")),
            EXAMPLES / "ashcombe" / "sheet.csv",
        ),
    )
}
