"""Evaluates a Jsonnet file (jsonnet.org) and checks it against a typed schema.

What is wrong is said in one line that names the file, the path inside it, and what is allowed.
"""

import json
import typing

import msgspec
import rjsonnet


class BadSettings(Exception):
    """Settings that can't be used; the text is one line."""


def evaluate(path, given=()):
    """The plain value of a Jsonnet file. `given`: NAME=VALUE texts, read in the file as
    std.extVar("NAME")."""
    names = {}
    for text in given:
        name, sign, value = text.partition("=")
        if not sign or not name:
            raise BadSettings("--set %s: write NAME=VALUE" % text)
        names[name] = value
    try:
        with open(path, encoding="utf-8") as file:
            source = file.read()
    except (OSError, UnicodeDecodeError) as why:
        raise BadSettings("%s: can't be read: %s" % (path, getattr(why, "strerror", None) or why)) from why
    try:
        return json.loads(rjsonnet.evaluate_snippet(str(path), source, ext_vars=names))
    except RuntimeError as why:
        lines = [line.strip() for line in str(why).splitlines() if line.strip()]
        raise BadSettings("%s: %s" % (path, "; ".join(lines[:3]))) from why


def checked(value, schema, where):
    """`value` as `schema`. Raises BadSettings, with the path and what is allowed there."""
    try:
        return msgspec.convert(value, schema)
    except msgspec.ValidationError as why:
        text, _, place = str(why).partition(" - at `")
        path = place.rstrip("`").removeprefix("$").removeprefix(".")
        allowed = ""
        if "unknown field" in text:
            fields = _fields(schema, path)
            allowed = "; allowed: %s" % ", ".join(fields) if fields else ""
        raise BadSettings("%s: at %s: %s%s" % (where, path or "the top", text, allowed)) from why


def _fields(schema, path):
    """Names of the fields that the struct at `path` has."""
    kind = schema
    for part in filter(None, path.replace("[", ".[").split(".")):
        kind = _inner(kind) if part.startswith("[") else typing.get_type_hints(_struct(kind)).get(part)
    struct = _struct(kind)
    return [field.name for field in msgspec.structs.fields(struct)] if struct else []


def _struct(kind):
    for one in (kind, *typing.get_args(kind)):
        if isinstance(one, type) and issubclass(one, msgspec.Struct):
            return one
    return None


def _inner(kind):
    args = typing.get_args(kind)
    return args[-1] if args else kind
