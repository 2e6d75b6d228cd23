"""A front's configuration: evaluate Jsonnet templates, validate them, derive the scheduler's settings."""

from runspool.config.loader import ConfigErrorDetails, InvalidConfigError, load_config, parse_config
from runspool.config.schema import (
    EndpointListConfig,
    EngineClientConfig,
    FrontConfig,
    FrontLimitsConfig,
    FrontProcessConfig,
)

__all__ = [
    "ConfigErrorDetails",
    "EndpointListConfig",
    "EngineClientConfig",
    "FrontConfig",
    "FrontLimitsConfig",
    "FrontProcessConfig",
    "InvalidConfigError",
    "load_config",
    "parse_config",
]
