"""Main program of the daemon `mulberrystaged`."""

import sys
import threading

from absl import app, flags, logging

import mulberry_core as core
import mulberry_rules as rules
from mulberry_daemon import _instance

_SETTINGS = flags.DEFINE_string(
    "settings", None, "Settings file of this instance, JSON with comments."
)

#: Thread switch interval, seconds. The default of 5 ms would delay each token
#: by as much whenever another thread is busy.
_THREAD_SWITCH_S = 0.0005


def main() -> None:
    """Runs the daemon until SIGTERM or SIGINT."""
    flags.mark_flag_as_required(_SETTINGS.name)  # type: ignore[no-untyped-call]
    core.end_process_after(lambda: app.run(_run))


def _run(arguments: list[str]) -> None:
    del arguments
    logging.set_verbosity(logging.INFO)
    logging.use_absl_handler()
    settings = rules.load_settings(_SETTINGS.value or "")
    if isinstance(settings, rules.SettingsErrors):
        for error in settings.errors:
            print(error, file=sys.stderr)
        sys.exit(2)
    sys.setswitchinterval(_THREAD_SWITCH_S)
    core.return_freed_memory()
    stopping, forced = threading.Event(), threading.Event()

    def on_termination(count: int) -> None:
        # A second signal ends the drain immediately.
        (stopping if count == 1 else forced).set()

    core.call_on_termination(on_termination)
    instance = _instance.Instance(settings)
    instance.start()
    logging.info("instance %s serves", settings.name)
    stopping.wait()
    instance.stop(forced)
    logging.info("instance %s stopped", settings.name)
