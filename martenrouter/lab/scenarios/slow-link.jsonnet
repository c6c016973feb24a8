// the link of a cell runs fifty times slower
{
  name: 'slow-link',
  about: 'the link of a cell runs fifty times slower',
  seconds: 8,
  traffic: { rate: 12, shares: [0.6, 0.25, 0.15] },
  faults: [{ at: 2, kind: 'link', target: 'cell-0', length: 3, value: 50 }],
  expect: { done_at_least: 0.6, answered_at_least: 50 },
}
