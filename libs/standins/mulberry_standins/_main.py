"""Entry point of `mulberrystage-standin`."""

import sys
from collections.abc import Mapping, Sequence

from mulberry_standins import _engine, _options, _services, _standin

#: With the interpreter's default of 5 ms, tokens are sent late while other
#: threads compute.
_SWITCH_INTERVAL_S = 0.0005

_CLASS_BY_ROLE: Mapping[str, type[_standin.Standin]] = {
    "engine": _engine.Engine,
    "service": _services.Service,
    "rater": _services.Rater,
    "weights": _services.WeightStore,
}


def create(options: _options.Options) -> _standin.Standin:
    """Creates the stand-in for a role without starting it."""
    return _CLASS_BY_ROLE[options.role](options)


def main(arguments: Sequence[str] | None = None) -> None:
    """Runs one stand-in until SIGTERM or SIGINT."""
    options = _options.parse_options(
        sys.argv[1:] if arguments is None else arguments
    )
    sys.setswitchinterval(_SWITCH_INTERVAL_S)
    create(options).run_process()
