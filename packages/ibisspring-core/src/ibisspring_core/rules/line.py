"""Reads one line of a rules file word by word and reports findings with their columns."""

from __future__ import annotations

import re

from ibisspring_core.errors import Finding

NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9_.-]*\Z")
_TOKEN = re.compile(r"[^\s,]+|,")
_NUMBER = re.compile(r"[0-9]{1,9}(\.[0-9]{1,6})?\Z")
_INTEGER = re.compile(r"[0-9]{1,9}\Z")
_REQUESTER = re.compile(r"#\s*asked:\s*[^\s,][^,]*,\s*\S")


class RuleLine:
    """
    One line of a rules file, read from left to right.

    A method that reads a word reports a finding and returns None if the word is not what the rule
    requires. Parsing of the rule then stops, because the words after a fault cannot be interpreted.
    """

    def __init__(self, place: str, number: int, text: str, findings: list[Finding]) -> None:
        self.place = place
        self.number = number
        rule, mark, comment = text.partition("#")
        self.comment = mark + comment
        self.tokens = [(match.group(), match.start() + 1) for match in _TOKEN.finditer(rule)]
        self._comment_column = len(rule) + 1
        self._end_column = len(rule.rstrip()) + 1
        self._findings = findings
        self._next = 0

    def report(self, message: str, column: int | None = None) -> None:
        """Report a finding at a column, by default that of the next word."""
        column = self.column() if column is None else column
        self._findings.append(Finding(self.place, self.number, column, message))

    def column(self) -> int:
        """Return the column, from 1, of the next word or of the end of the rule."""
        if self._next < len(self.tokens):
            return self.tokens[self._next][1]
        return self._end_column

    def check_requester(self) -> None:
        """Report a missing or malformed `# asked: WHO, WHY` comment at the end of the rule."""
        if _REQUESTER.match(self.comment):
            return
        self.report("end the rule with '# asked: WHO, WHY'", self._comment_column)

    def peek(self) -> str | None:
        """Return the next word without consuming it; None at the end."""
        return self.tokens[self._next][0] if self._next < len(self.tokens) else None

    def word(self, what: str) -> str | None:
        """Consume and return any word; `what` names it in a finding."""
        token = self.peek()
        if token is None or token == ",":
            self.report(f"expected {what}")
            return None
        self._next += 1
        return token

    def name(self, what: str) -> str | None:
        """Consume and return a name; `what` names it in a finding."""
        token = self.peek()
        if token is None or not NAME.match(token):
            self.report(f"expected {what}: letters, digits, '.', '_' or '-'")
            return None
        self._next += 1
        return token

    def names(self, what: str) -> tuple[str, ...] | None:
        """Consume and return one or more distinct names, separated by commas."""
        names: list[str] = []
        while True:
            column = self.column()
            name = self.name(what)
            if name is None:
                return None
            if name in names:
                self.report(f"{name!r} stands here twice", column)
                return None
            names.append(name)
            if self.peek() != ",":
                return tuple(names)
            self._next += 1

    def keyword(self, keyword: str) -> bool:
        """Consume a fixed word; report a finding and return False if another word follows."""
        if self.peek() != keyword:
            self.report(f"expected {keyword!r}")
            return False
        self._next += 1
        return True

    def number_with(self, unit: str, what: str, above: float = 0.0) -> float | None:
        """
        Consume and return a number with its unit attached, as in 40/s or 60%.

        :param unit: the unit; empty for none.
        :param what: name of the number in a finding.
        :param above: smallest valid number; with 0.0 the number must be greater than 0.
        """
        token = self.peek() or ""
        digits = token.removesuffix(unit) if unit else token
        if not token.endswith(unit) or not _NUMBER.match(digits):
            self.report(f"expected {what}, a number such as 40{unit}")
            return None
        if float(digits) < above or (above == 0.0 and float(digits) == 0.0):
            self.report(f"{what} must be {'above 0' if above == 0.0 else f'at least {above:g}'}")
            return None
        self._next += 1
        return float(digits)

    def integer(self, what: str) -> int | None:
        """Consume and return an integer from 0; `what` names it in a finding."""
        token = self.peek() or ""
        if not _INTEGER.match(token):
            self.report(f"expected {what}, a whole number")
            return None
        self._next += 1
        return int(token)

    def end(self) -> bool:
        """Return True at the end of the rule; otherwise report the next word and return False."""
        token = self.peek()
        if token is None:
            return True
        self.report(f"unexpected {token!r} after the end of the rule")
        return False


__all__ = ["RuleLine"]
