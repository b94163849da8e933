"""The deployment under test, whose voters are behind relays."""

import json
import pathlib
import shutil
import subprocess
import sys
from typing import Any

import mulberry_standins as standins
from mulberry_experiments import _deployment

_ROOT = pathlib.Path(__file__).parents[4]
_RULES = _ROOT / "examples" / "colmenas.rules"
_CLI_TIMEOUT_S = 40.0

TOKENS = 40
QUALITY = 0.95

MODEL = "cedro-grande"
SMALL_MODEL = "cedro-chico"
CASCADE = "planes"
#: Versions of `MODEL`; operators withdraw one at a time and restore it.
OLD_VERSION = "2026-02"
NEW_VERSION = "2026-03"
#: The message that all chats share.
SYSTEM_MESSAGE = "Answer in short sentences."
SERVICE = "taller-app"
#: A team that may use only `OLD_VERSION` of `MODEL`.
RESTRICTED_TEAM = "formacion"


class SoakDeployment(_deployment.Deployment):
    """A deployment whose voters reach each other through relays.

    The voter that forms the group registers its own address instead of its
    relay's, so a cut of its relay affects only connections that use the
    addresses from the settings.
    """

    def __init__(self, folder: pathlib.Path, instances_per_zone: int) -> None:
        folder.mkdir(parents=True, exist_ok=True)
        rules = folder / "first.rules"
        rules.write_text(_soak_rules(_RULES.read_text()))
        super().__init__(
            _deployment.DeploymentSpec(
                region="altaverapaz",
                zones=("coban-a", "coban-b", "carcha-c"),
                instances_per_zone=instances_per_zone,
                rule_file=rules,
                engines=(
                    f"{SMALL_MODEL}@2026-01",
                    f"{SMALL_MODEL}@2026-01",
                    f"{MODEL}@{OLD_VERSION}",
                    f"{MODEL}@{OLD_VERSION}",
                    f"{MODEL}@{NEW_VERSION}",
                    f"{MODEL}@{NEW_VERSION}",
                ),
                service=SERVICE,
                service_workers=2,
                engine_options=(
                    "--tokens-per-s=80",
                    f"--tokens={TOKENS}",
                    f"--quality={QUALITY}",
                ),
            ),
            folder / "run",
        )
        self.relays_by_name: dict[str, standins.Relay] = {}

    def stop(self) -> None:
        """Stops all processes and relays."""
        super().stop()
        for relay in self.relays_by_name.values():
            relay.close()

    def settings(self, name: str) -> dict[str, Any]:
        """Returns the settings of an instance."""
        path = self.folder / f"{name}.json"
        loaded: dict[str, Any] = json.loads(path.read_text())
        return loaded

    def grpc_address(self, name: str) -> str:
        """Returns the operator API's address, which bypasses the relay."""
        return str(self.settings(name)["grpc_address"])

    @property
    def voters(self) -> list[str]:
        """Names of the instances with a disk."""
        return sorted(self.relays_by_name)

    @property
    def voters_behind_relay(self) -> list[str]:
        """Names of the voters whose replication traffic uses their relay."""
        return self.voters[1:]

    def wipe_disk(self, name: str) -> None:
        """Deletes the data folder of a stopped instance."""
        shutil.rmtree(self.settings(name)["data_dir"])

    def command(self, name: str, *arguments: str) -> tuple[str, ...]:
        """Returns the CLI command line for an instance."""
        program = pathlib.Path(sys.executable).parent / "mulberrystage"
        return (
            str(program),
            f"--instance={self.grpc_address(name)}",
            "--json",
            *arguments,
        )

    def run_command(self, name: str, *arguments: str) -> tuple[int, Any]:
        """Runs a CLI command; returns its exit status and JSON output."""
        completed = subprocess.run(
            self.command(name, *arguments),
            capture_output=True,
            check=False,
            timeout=_CLI_TIMEOUT_S,
        )
        try:
            return completed.returncode, json.loads(completed.stdout)
        except ValueError:
            return completed.returncode, {
                "error": completed.stderr.decode()[-300:]
            }

    def _instance_settings(self) -> dict[str, dict[str, Any]]:
        settings_by_name = super()._instance_settings()
        for name, settings in settings_by_name.items():
            if settings.get("voter"):
                self.relays_by_name[name] = standins.Relay(
                    settings["grpc_address"]
                )
        relay_address_by_name = {
            name: relay.address for name, relay in self.relays_by_name.items()
        }
        for name, settings in settings_by_name.items():
            voters = dict(relay_address_by_name)
            if name in voters:
                # The daemon requires its own address for itself.
                voters[name] = settings["grpc_address"]
            settings["voters"] = voters
            settings["peers"] = list(voters.values())
        return settings_by_name


def _soak_rules(text: str) -> str:
    """Removes limits and sets rollout steps that a run can reach."""
    kept = [
        line
        for line in text.splitlines()
        if not line.startswith(("limit ", "rollout "))
    ]
    kept.append(
        f"rollout {MODEL} from {OLD_VERSION} to {NEW_VERSION} steps 40% 100% "
        "every 30m expose 1000000  # asked by Tomás Xol"
    )
    return "\n".join(kept) + "\n"
