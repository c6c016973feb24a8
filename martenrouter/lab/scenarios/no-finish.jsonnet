// a writer ends its streams without a finish
{
  name: 'no-finish',
  about: 'a writer ends its streams without a finish',
  seconds: 8,
  traffic: { rate: 12, shares: [0.6, 0.25, 0.15] },
  faults: [{ at: 2, kind: 'no_finish', target: 'wr', length: 3 }],
  expect: { done_at_least: 0.4, answered_at_least: 50 },
}
