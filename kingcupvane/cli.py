"""The command line.

Commands that change anything return an action. It runs only when all words
of the command line were understood, since fire calls a command before it
complains of a word that is left over.
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
    """What a command does once its words are understood.

    Attributes:
        call: Does it and returns the exit status.
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
    """Global traffic steering that runs without an operator watching."""

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
        """Runs the stand-in for several targets in one process."""

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
            from kingcupvane.process import operator as commands

            return commands.check(note_file, operator)

        return Action(call=call)

    def apply(self, note_file: str, operator: str) -> Action:
        """Applies a release note and waits until it is in force."""

        def call() -> int:
            from kingcupvane.process import operator as commands

            return commands.apply(note_file, operator)

        return Action(call=call)

    def status(self, operator: str) -> Action:
        """Shows what each daemon does and has concluded."""

        def call() -> int:
            from kingcupvane.process import operator as commands

            return commands.status(operator)

        return Action(call=call)

    def timeline(self, operator: str) -> Action:
        """Shows the events of all daemons in one order."""

        def call() -> int:
            from kingcupvane.process import operator as commands

            return commands.timeline(operator)

        return Action(call=call)

    def key(self, name: str) -> Action:
        """Makes a new key, and its hash for a release note."""

        def call() -> int:
            from kingcupvane.request import authentication

            new_key = authentication.generate_key(_require_text(name, "name"))
            print(f"key    {new_key}")
            print(f"sha256 {authentication.hash_key(new_key)}")
            return EXIT_OK

        return Action(call=call)


def _hide_action(result: object) -> object:
    """Keeps fire from printing an action."""
    return None if isinstance(result, Action) else result


def _quote_arguments(arguments: list[str]) -> list[str]:
    """Quotes words so that fire takes them as text, never as numbers."""
    return [
        argument if argument.startswith("-") else repr(argument)
        for argument in arguments
    ]


def main(arguments: list[str]) -> int:
    """Runs one command.

    Args:
        arguments: The words of the command line after the program's name.

    Returns:
        The exit status: 0 done, 1 failed, 2 words or input not understood.
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
