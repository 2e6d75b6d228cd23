"""A front's configuration: evaluate Jsonnet templates, validate them, derive the scheduler's settings."""

from runspool.config.loader import ConfigFault, InvalidConfigError, load_config, parse_config
from runspool.config.schema import (
    EndpointListConfig,
    EngineClientConfig,
    FrontBoundsConfig,
    FrontConfig,
    FrontProcessConfig,
)

__all__ = [
    "ConfigFault",
    "EndpointListConfig",
    "EngineClientConfig",
    "FrontBoundsConfig",
    "FrontConfig",
    "FrontProcessConfig",
    "InvalidConfigError",
    "load_config",
    "parse_config",
]
