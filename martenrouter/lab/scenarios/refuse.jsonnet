// a writer refuses everything as full
{
  name: 'refuse',
  about: 'a writer refuses everything as full',
  seconds: 8,
  traffic: { rate: 12, shares: [0.6, 0.25, 0.15] },
  faults: [{ at: 2, kind: 'refuse', target: 'wr', length: 3 }],
  expect: { done_at_least: 0.6, answered_at_least: 50 },
}
