// a crash is told two seconds late
{
  name: 'list-late',
  about: 'a crash is told two seconds late',
  seconds: 8,
  traffic: { rate: 12, shares: [0.6, 0.25, 0.15] },
  faults: [{ at: 1, kind: 'list_late', length: 6, value: 2000 }, { at: 2, kind: 'crash', target: 'wr', again: 0.5 }],
  expect: { done_at_least: 0.6, answered_at_least: 50 },
}
