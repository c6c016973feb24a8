// a reader crashes with states waiting and comes back cold under its id
{
  name: 'crash',
  about: 'a reader crashes with states waiting and comes back cold under its id',
  seconds: 8,
  traffic: { rate: 12, shares: [0.6, 0.25, 0.15] },
  faults: [{ at: 2, kind: 'crash', target: 'rd', again: 1.5 }],
  expect: { done_at_least: 0.6, answered_at_least: 50 },
}
