// all engines forget the text they kept
{
  name: 'forget',
  about: 'all engines forget the text they kept',
  seconds: 8,
  traffic: { rate: 12, shares: [0.6, 0.25, 0.15] },
  faults: [{ at: 2, kind: 'forget', target: 'cell-0' }, { at: 2, kind: 'forget', target: 'cell-1' }],
  expect: { done_at_least: 0.95, answered_at_least: 50 },
}
