// The configuration of a small deployment with one front. Validate it with
// `runspool terms check examples/house.jsonnet`.
local runspool = import 'runspool.libsonnet';
{
  house: runspool.house {
    fronts: 1,
    zones: ['waw-1', 'waw-2', 'lodz-1'],
    tariffs: {
      'staff-ask': runspool.tariff(1500, 6000, 60) { due_per_1000_tokens_ms: 40 },
      'manager-check': runspool.tariff(2000, 8000, 70, gain=3) { due_per_1000_tokens_ms: 40 },
      'payout-close': runspool.tariff(3000, 15000, 80, 'exclusive', gain=3) { due_per_1000_tokens_ms: 120 },
    },
    tenants: { 'stol-razem': runspool.tenant(10), 'pod-lipami': runspool.tenant(9) },
    kinds: { prefill: runspool.reader(155000), decode: runspool.writer(111000), mixed: runspool.mixed(285000) },
  },
  front: runspool.front('front-a', 'waw-1', 8080, runspool.list('127.0.0.1', 8070)) {
    default_tariff: 'staff-ask',
    memory_file: '/tmp/runspool-front-a.list',
  },
}
