"""The commands of ``dandelionctl lab``."""

import cyclopts

from . import audit_command
from . import batch
from . import demo as demo_module
from . import engine as engine_module
from .capacity import command as capacity
from .policy import command as policy_command
from .soak import run as soak_run

app = cyclopts.App(
    name="lab", help="Simulated backend servers, load and experiments."
)
app.command(capacity.app)
app.command(policy_command.policy)


@app.command
def engine(
    name: str,
    *,
    announce_to: list[str],
    failure_domain: str = "fd1",
    model: list[str] = ("small",),
    slots: int = 8,
    port: int = 0,
    step_ms: float = 10.0,
    token: str = "",
):
    """Run a simulated engine that announces itself, until interrupted.

    Example: dandelionctl lab engine e1 --announce-to 127.0.0.1:8001

    Parameters
    ----------
    name
        The name of the backend server.
    announce_to
        The addresses of the backend-server listeners, used in turn.
    failure_domain
        The failure domain that it announces.
    model
        A loaded model; may be given more than once.
    slots
        The maximum number of concurrent streams.
    port
        The port to listen on; 0 picks a free one.
    step_ms
        The time of a step with an empty batch, in milliseconds.
    token
        The bearer token for announcements.
    """
    pace = batch.Pace(step=step_ms / 1000.0)
    simulated = engine_module.Engine(
        name, failure_domain, list(model), slots, pace
    )
    simulated.start(port)
    print(f"{name} listens on {simulated.url}", flush=True)
    simulated.announce(list(announce_to), token)


@app.command
def demo():
    """Run three instances with simulated engines and show how they work.

    Example: dandelionctl lab demo
    """
    return demo_module.run()


@app.command
def soak(*, seconds: float = 60.0, seed: int = 1):
    """Run nine instances under load and faults; check all guarantees.

    Instances are killed, frozen and drained.

    Example: dandelionctl lab soak --seconds 120 --seed 7

    Parameters
    ----------
    seconds
        For how long faults are injected.
    seed
        The seed of the faults and the requests.
    """
    return soak_run.run(seconds, seed)


app.command(audit_command.audit)
