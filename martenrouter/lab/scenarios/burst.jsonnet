// twice and a half the load for two seconds
{
  name: 'burst',
  about: 'twice and a half the load for two seconds',
  seconds: 8,
  traffic: { rate: 12, shares: [0.6, 0.25, 0.15] },
  faults: [{ at: 2, kind: 'burst', value: 2.5, length: 2 }],
  expect: { done_at_least: 0.8, answered_at_least: 50 },
}
