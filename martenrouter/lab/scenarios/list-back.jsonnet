// the list goes back a version after a drain, then on from a new epoch
{
  name: 'list-back',
  about: 'the list goes back a version after a drain, then on from a new epoch',
  seconds: 9,
  traffic: { rate: 12, shares: [0.6, 0.25, 0.15] },
  faults: [{ at: 1, kind: 'drain', target: 'wr', length: 6, again: 0.5 }, { at: 2.5, kind: 'list_back', value: 1, length: 2 }],
  expect: { done_at_least: 0.6, answered_at_least: 50 },
}
