"""Options that all commands of `ibisspring` share: addresses, output format and time limit."""

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
    Values of the options that are passed to every command of `ibisspring`.

    :param addresses: IP:port of each control daemon.
    :param as_json: whether a command prints one JSON object instead of text.
    :param timeout_s: time limit for the answer of the control leader, in seconds.
    """

    addresses: tuple[str, ...]
    as_json: bool
    timeout_s: float

    @classmethod
    def from_command_line(
        cls, addresses: tuple[str, ...], as_json: bool, timeout_s: float
    ) -> Options:
        """
        Build the options from the command-line values that click parsed.

        :param addresses: values of `--control`; each is one IP:port or several, separated by spaces
            or commas.
        :param as_json: True if `--json` was given.
        :param timeout_s: time limit for the answer of the control leader, in seconds.
        """
        return cls(split_addresses(addresses), as_json, timeout_s)


def split_addresses(texts: tuple[str, ...]) -> tuple[str, ...]:
    """
    Split the values of an option that accepts several addresses.

    :param texts: values of the option; each is one IP:port or several, separated by spaces or
        commas.
    :return: the addresses in their order on the command line.
    """
    return tuple(part for text in texts for part in text.replace(",", " ").split())


def with_seeds(command: Callable[..., Any]) -> Callable[..., Any]:
    """Add the option `--seeds` to a command; its value is passed as `seeds`."""
    help_text = "Peer IP:port of control daemons; one running daemon is enough."
    return _seeds_option(help_text, required=True)(command)


def with_optional_seeds(command: Callable[..., Any]) -> Callable[..., Any]:
    """Add the option `--seeds` to a command that calls `--control` where it is not given."""
    help_text = "Peer IP:port of control daemons that are found by seeds; else --control is used."
    return _seeds_option(help_text, required=False)(command)


def _seeds_option(help_text: str, required: bool) -> Callable[..., Any]:
    return click.option(
        "--seeds",
        "seeds",
        multiple=True,
        required=required,
        envvar="IBISSPRING_SEEDS",
        help=help_text,
    )


def with_options(command: Callable[..., Any]) -> Callable[..., Any]:
    """
    Pass the shared options to a command and accept `--json` after the command's name too.

    :param command: function that performs the command; its first parameter is an `Options`.
    :return: the callback to register with click.
    """

    @click.option("--json", "as_json", is_flag=True, help="Print JSON.")
    @click.pass_obj
    @functools.wraps(command)
    def run(options: Options, *arguments: Any, as_json: bool, **keywords: Any) -> Any:
        merged = dataclasses.replace(options, as_json=options.as_json or as_json)
        return command(merged, *arguments, **keywords)

    return run


__all__ = ["Options", "split_addresses", "with_optional_seeds", "with_options", "with_seeds"]
