// a writer resets its streams after five tokens
{
  name: 'reset',
  about: 'a writer resets its streams after five tokens',
  seconds: 8,
  traffic: { rate: 12, shares: [0.6, 0.25, 0.15] },
  faults: [{ at: 2, kind: 'reset_after', target: 'wr', length: 3, value: 5 }],
  expect: { done_at_least: 0.6, answered_at_least: 50 },
}
