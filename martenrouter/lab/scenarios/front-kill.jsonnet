// a front is killed with reqs open and starts again with its last list
{
  name: 'front-kill',
  about: 'a front is killed with reqs open and starts again with its last list',
  seconds: 8,
  traffic: { rate: 12, shares: [0.6, 0.25, 0.15] },
  faults: [{ at: 2.5, kind: 'front_kill', target: 'front-0', again: 1 }],
  expect: { done_at_least: 0.6, answered_at_least: 50 },
}
