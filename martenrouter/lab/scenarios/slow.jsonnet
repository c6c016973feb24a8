// a reader runs six times slower
{
  name: 'slow',
  about: 'a reader runs six times slower',
  seconds: 8,
  traffic: { rate: 12, shares: [0.6, 0.25, 0.15] },
  faults: [{ at: 2, kind: 'slow', target: 'rd', length: 3, value: 6 }],
  expect: { done_at_least: 0.6, answered_at_least: 50 },
}
