"""Settings: Jsonnet templates evaluated, validated against typed schemas."""
