// Building blocks for the configuration of a front. The units are part of the field names. Every default can
// be overridden with `+:`. The fields are documented in runspool/config/schema.py.
{
  // A request class. `due_ms` is the first-token objective, `limit_ms` the default deadline. `effect` is
  // 'rerunnable' (idempotent), 'ticketed' (idempotent by key) or 'exclusive' (executed at most once).
  tariff(due_ms, limit_ms, pace_ms_per_token, effect='rerunnable', gain=1):: {
    due_ms: due_ms,
    due_per_1000_tokens_ms: 0,
    limit_ms: limit_ms,
    pace_ms_per_token: pace_ms_per_token,
    gain: gain,
    late_share: 0.1,
    effect: effect,
    group: 'all',
    window_ms: 5000,
  },

  tenant(queries_per_second):: { queries_per_second: queries_per_second },

  reader(memory_tokens):: { role: 'reader', memory_tokens: memory_tokens },
  writer(memory_tokens):: { role: 'writer', memory_tokens: memory_tokens },
  mixed(memory_tokens):: { role: 'mixed', memory_tokens: memory_tokens },

  rules:: {
    answer_slack_ms: 50,
    drain_grace_ms: 250,
    cold_from: 0.25,
    cold_ms: 14000,
    fall_multiple: 2.5,
    fall_ms: 1500,
    release_within_ms: 300,
  },

  limits:: {
    max_shots: 5,
    second_copies: false,
    longest_wait_told_ms: 2000,
    writers_read: false,
  },

  prices:: { far: 0.03, zone: 0.011, late: 0.034, waste: 0.08 },

  bounds:: {
    connections: 2000,
    queries: 1500,
    head_bytes: 16384,
    query_bytes: 2097152,
    head_ms: 5000,
    body_ms: 10000,
    idle_ms: 30000,
    answer_write_ms: 5000,
    stream_silence_ms: 10000,
    longest_limit_ms: 120000,
    drain_ms: 20000,
  },

  engines:: {
    connect_ms: 250,
    idle_ms: 15000,
    connections_each: 256,
    idle_each: 32,
    read_answer_bytes: 1048576,
    line_bytes: 65536,
    source_address: null,
  },

  list(host, port):: { host: host, port: port, quiet_ms: 5000, retry_ms: 200, line_bytes: 4194304 },

  // The settings that all fronts of a deployment share.
  house:: {
    fronts: 1,
    zones: [],
    tariffs: {},
    tenants: {},
    kinds: {},
    rules: $.rules,
    limits: $.limits,
    prices: $.prices,
    over_share: 0.1,
  },

  // The settings of one front: its zone, its listener, its limits and its files.
  front(name, zone, port, list):: {
    name: name,
    number: 0,
    zone: zone,
    seed: 1,
    listen: { host: '127.0.0.1', port: port },
    default_tariff: null,
    model: 'runspool',
    bounds: $.bounds,
    engines: $.engines,
    list: list,
    memory_file: null,
    cells_file: null,
    log_level: 'info',
  },
}
