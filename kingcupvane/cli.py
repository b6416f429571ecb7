"""The command line.

Each command returns an action, which runs only after the whole command line has
been parsed without error, since fire calls a command before it reports an
argument that is left over.
"""

import sys
from collections.abc import Callable
from dataclasses import dataclass

import fire
import fire.core
import trio
from loguru import logger

from kingcupvane import settings
from kingcupvane.errors import UsageError

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_USAGE = 2
LOG_FORMAT = "level={level} {message}"


@dataclass(frozen=True, kw_only=True)
class Action:
    """Work of a command, deferred until its command line is fully parsed.

    Attributes:
        call: Does the work and returns the exit status.
    """

    call: Callable[[], int]


def _require_text(value: object, name: str) -> str:
    if not isinstance(value, str):
        raise UsageError(f"{name}: expected text, got {value!r}")
    return value


def _run_daemon(daemon: Callable[[], object]) -> int:
    trio.run(daemon)
    return EXIT_OK


class Commands:
    """Global traffic steering: daemons, stand-ins and operator commands."""

    def entry(self, settings_file: str) -> Action:
        """Runs an entry daemon."""

        def call() -> int:
            from kingcupvane.process.entry import EntryDaemon

            loaded = settings.load(settings_file, settings.EntrySettings)
            return _run_daemon(EntryDaemon(settings=loaded).run)

        return Action(call=call)

    def store(self, settings_file: str) -> Action:
        """Runs the stand-in for the platform's store."""

        def call() -> int:
            from kingcupvane.standin.run import run_store

            model = settings.StoreStandinSettings
            loaded = settings.load(settings_file, model)
            return _run_daemon(lambda: run_store(loaded))

        return Action(call=call)

    def target(self, settings_file: str) -> Action:
        """Runs the stand-in for a target."""

        def call() -> int:
            from kingcupvane.standin.run import run_target

            model = settings.TargetStandinSettings
            loaded = settings.load(settings_file, model)
            return _run_daemon(lambda: run_target(loaded))

        return Action(call=call)

    def targets(self, settings_file: str) -> Action:
        """Runs one process that stands in for several targets."""

        def call() -> int:
            from kingcupvane.standin.run import run_targets

            model = settings.TargetGroupStandinSettings
            loaded = settings.load(settings_file, model)
            return _run_daemon(lambda: run_targets(loaded))

        return Action(call=call)

    def link(self, settings_file: str) -> Action:
        """Runs the stand-in for a network link that can be cut."""

        def call() -> int:
            from kingcupvane.standin.run import run_link

            model = settings.LinkStandinSettings
            loaded = settings.load(settings_file, model)
            return _run_daemon(lambda: run_link(loaded))

        return Action(call=call)

    def check(self, note_file: str, operator: str = "") -> Action:
        """Checks a release note, against the store when OPERATOR is given."""

        def call() -> int:
            from kingcupvane.process import operator_commands as commands

            return commands.check(note_file, operator)

        return Action(call=call)

    def apply(self, note_file: str, operator: str) -> Action:
        """Applies a release note and waits until it is in force."""

        def call() -> int:
            from kingcupvane.process import operator_commands as commands

            return commands.apply(note_file, operator)

        return Action(call=call)

    def status(self, operator: str) -> Action:
        """Shows the state and the current decisions of each daemon."""

        def call() -> int:
            from kingcupvane.process import operator_commands as commands

            return commands.status(operator)

        return Action(call=call)

    def timeline(self, operator: str) -> Action:
        """Shows the events of all daemons as one ordered time line."""

        def call() -> int:
            from kingcupvane.process import operator_commands as commands

            return commands.timeline(operator)

        return Action(call=call)

    def key(self, name: str) -> Action:
        """Generates a key, and prints it with its hash for a release note."""

        def call() -> int:
            from kingcupvane.request import authentication

            new_key = authentication.generate_key(_require_text(name, "name"))
            print(f"key    {new_key}")
            print(f"sha256 {authentication.hash_key(new_key)}")
            return EXIT_OK

        return Action(call=call)


def _hide_action(result: object) -> object:
    """Returns None for an action, so that fire does not print it."""
    return None if isinstance(result, Action) else result


def _quote_arguments(arguments: list[str]) -> list[str]:
    """Quotes all arguments but flags, so that fire parses them as text."""
    return [
        argument if argument.startswith("-") else repr(argument)
        for argument in arguments
    ]


def main(arguments: list[str]) -> int:
    """Runs one command.

    Args:
        arguments: Command line arguments after the name of the program.

    Returns:
        The exit status: 0 for success, 1 for failure, 2 for invalid arguments
        or input, 3 for partial success.
    """
    logger.remove()
    logger.add(sys.stderr, format=LOG_FORMAT, level="INFO")
    head, rest = arguments[:1], arguments[1:]
    try:
        action = fire.Fire(
            Commands,
            command=head + _quote_arguments(rest),
            name="kingcupvane",
            serialize=_hide_action,
        )
    except fire.core.FireExit as fire_exit:
        return fire_exit.code
    if not isinstance(action, Action):
        return EXIT_OK if not arguments else EXIT_USAGE
    try:
        return action.call()
    except UsageError as error:
        print(f"kingcupvane: {error}", file=sys.stderr)
        return EXIT_USAGE
