// a writer stops in mid-stream and keeps the connection
{
  name: 'stall',
  about: 'a writer stops in mid-stream and keeps the connection',
  seconds: 9,
  traffic: { rate: 12, shares: [0.6, 0.25, 0.15] },
  faults: [{ at: 2, kind: 'stall_after', target: 'wr', length: 4, value: 5 }],
  expect: { done_at_least: 0.5, answered_at_least: 50 },
}
