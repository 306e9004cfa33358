"""``dandelionctl lab``: the commands of the lab."""

import cyclopts

from . import audit_command
from . import batch
from . import demo as demo_module
from . import engine as engine_module
from .capacity import command as capacity
from .policy import command as policy_command
from .soak import run as soak_run

app = cyclopts.App(name="lab", help="Stand-ins, load and experiments.")
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
    """Run a stand-in engine that announces itself, until interrupted.

    Example: dandelionctl lab engine e1 --announce-to 127.0.0.1:8001

    Parameters
    ----------
    name
        The name of the backend server.
    announce_to
        Addresses of the backend-server listeners, taken in turn.
    failure_domain
        The failure domain that it says it is in.
    model
        A model that it has loaded; may be given more than once.
    slots
        How many streams it runs at once.
    port
        The port to listen on; 0 picks one.
    step_ms
        The time of an empty step, in milliseconds.
    token
        The bearer token for announcements.
    """
    pace = batch.Pace(step=step_ms / 1000.0)
    served = engine_module.Engine(
        name, failure_domain, list(model), slots, pace
    )
    served.start(port)
    print(f"{name} listens on {served.url}", flush=True)
    served.announce(list(announce_to), token)


@app.command
def demo():
    """Run three instances and stand-in engines, and show what they do.

    Example: dandelionctl lab demo
    """
    return demo_module.run()


@app.command
def soak(*, seconds: float = 60.0, seed: int = 1):
    """Kill, freeze and drain nine instances under load; check promises.

    Example: dandelionctl lab soak --seconds 120 --seed 7

    Parameters
    ----------
    seconds
        How long faults are caused.
    seed
        Draws the faults and the requests.
    """
    return soak_run.run(seconds, seed)


app.command(audit_command.audit)
