"""Options that all commands share."""

from __future__ import annotations

import dataclasses
import functools
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import click

if TYPE_CHECKING:
    from collections.abc import Callable


@dataclass(frozen=True)
class Options:
    """
    What every command is given.

    :param addresses: IP:port of the control daemons.
    :param as_json: print one JSON object instead of text.
    :param timeout_s: longest time for an answer.
    """

    addresses: tuple[str, ...]
    as_json: bool
    timeout_s: float

    @classmethod
    def from_command_line(
        cls, addresses: tuple[str, ...], as_json: bool, timeout_s: float
    ) -> Options:
        """
        Build the options.

        :param addresses: each one IP:port, or several with spaces or commas between.
        :param as_json: whether JSON was asked for.
        :param timeout_s: longest time for an answer.
        :return: the options.
        """
        return cls(split_addresses(addresses), as_json, timeout_s)


def split_addresses(texts: tuple[str, ...]) -> tuple[str, ...]:
    """
    Split an option that takes addresses.

    :param texts: each one IP:port, or several with spaces or commas between.
    :return: the addresses in order.
    """
    return tuple(part for text in texts for part in text.replace(",", " ").split())


def with_options(command: Callable[..., Any]) -> Callable[..., Any]:
    """
    Give a command the shared options, and `--json` after its name as well.

    :param command: takes `Options` first.
    :return: the command's callback.
    """

    @click.option("--json", "as_json", is_flag=True, help="Print JSON.")
    @click.pass_obj
    @functools.wraps(command)
    def run(options: Options, *arguments: Any, as_json: bool, **named: Any) -> Any:
        chosen = dataclasses.replace(options, as_json=options.as_json or as_json)
        return command(chosen, *arguments, **named)

    return run


__all__ = ["Options", "split_addresses", "with_options"]
