// a writer drains in the middle of its work, leaves, and comes back
{
  name: 'drain',
  about: 'a writer drains in the middle of its work, leaves, and comes back',
  seconds: 8,
  traffic: { rate: 12, shares: [0.6, 0.25, 0.15] },
  faults: [{ at: 2, kind: 'drain', target: 'wr', length: 3, again: 1 }],
  expect: { done_at_least: 0.6, answered_at_least: 50 },
}
