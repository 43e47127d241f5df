"""Validation of YAML files that reports all errors with their lines.

``load_model`` loads text into a pydantic model. Invalid YAML is reported as
one finding; otherwise all unknown keys, duplicate keys, missing fields and
invalid values are reported in one run, each with its line.
"""

import collections.abc
import dataclasses
import typing as ty

import expression
import pydantic
import yaml

__all__ = ['Finding', 'Location', 'load_model']

Location = tuple[str | int, ...]
M = ty.TypeVar('M', bound=pydantic.BaseModel)

_REMEDIES: ty.Final[dict[str, str]] = {
    'extra_forbidden': 'remove this key or correct its spelling',
    'missing': 'add this key',
    'duplicate': 'keep one of the two',
}
_DEFAULT_REMEDY = 'correct the value'


@ty.final
@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Finding:
    """One error in a file."""

    # Counted from 1.
    line: int
    # Dotted path of the key, such as ``pools.0.runners.2.address``.
    where: str
    text: str
    remedy: str

    def __str__(self) -> str:
        """Return one human-readable line."""
        return f'line {self.line}: {self.where}: {self.text}; {self.remedy}'


@ty.final
class LineMap:
    """Line numbers of a YAML file by location."""

    def __init__(self, root: yaml.Node | None) -> None:
        """Index the tree of nodes; None for an empty file."""
        self._lines: dict[Location, int] = {(): 1}
        self.duplicates: list[Finding] = []
        if root is not None:
            self._visit(root, ())

    def find_line(self, location: Location) -> int:
        """Return the line of a location or of its nearest ancestor."""
        while location not in self._lines:
            location = location[:-1]
        return self._lines[location]

    def make_finding(
        self, location: Location, text: str, remedy: str
    ) -> Finding:
        """Return a finding at a location."""
        where = '.'.join(str(part) for part in location) or 'file'
        return Finding(self.find_line(location), where, text, remedy)

    def _visit(self, node: yaml.Node, location: Location) -> None:
        self._lines.setdefault(location, node.start_mark.line + 1)
        if isinstance(node, yaml.SequenceNode):
            for index, item in enumerate(node.value):
                self._visit(item, (*location, index))
            return
        if not isinstance(node, yaml.MappingNode):
            return
        for key, value in node.value:
            child = (*location, str(key.value))
            if child in self._lines:
                line = key.start_mark.line + 1
                where = '.'.join(str(part) for part in child)
                self.duplicates.append(
                    Finding(
                        line,
                        where,
                        'this key stands twice',
                        _REMEDIES['duplicate'],
                    )
                )
                continue
            self._lines[child] = key.start_mark.line + 1
            self._visit(value, child)


def load_model(
    text: bytes | str, model: type[M]
) -> expression.Result[tuple[M, LineMap], list[Finding]]:
    """Load YAML into a model, or return all errors, in line order."""
    try:
        root = yaml.compose(text, Loader=yaml.SafeLoader)
        data = yaml.safe_load(text)
    except (yaml.YAMLError, ValueError) as error:
        return expression.Error([_describe_syntax(error)])
    except RecursionError:
        finding = Finding(
            1, 'file', 'nested too deep', 'write a few levels only'
        )
        return expression.Error([finding])
    lines = LineMap(root)
    findings = list(lines.duplicates)
    if not isinstance(data, dict):
        finding = Finding(
            1, 'file', 'not a mapping', 'write "key: value" lines'
        )
        return expression.Error([finding])
    try:
        value = model.model_validate(data)
    except pydantic.ValidationError as error:
        findings.extend(_describe_fields(error, lines))
        return expression.Error(sorted(findings))
    if findings:
        return expression.Error(sorted(findings))
    return expression.Ok((value, lines))


def _describe_syntax(error: Exception) -> Finding:
    mark = getattr(error, 'problem_mark', None)
    line = 1 if mark is None else mark.line + 1
    problem = getattr(error, 'problem', None) or str(error)
    return Finding(line, 'file', f'not YAML: {problem}', 'mend the syntax')


def _describe_fields(
    error: pydantic.ValidationError, lines: LineMap
) -> collections.abc.Iterator[Finding]:
    for item in error.errors(include_url=False):
        remedy = _REMEDIES.get(item['type'], _DEFAULT_REMEDY)
        yield lines.make_finding(item['loc'], item['msg'], remedy)
