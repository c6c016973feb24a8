// a reader takes connections and reads nothing from them
{
  name: 'half-open',
  about: 'a reader takes connections and reads nothing from them',
  seconds: 8,
  traffic: { rate: 12, shares: [0.6, 0.25, 0.15] },
  faults: [{ at: 2, kind: 'half_open', target: 'rd', length: 3 }],
  expect: { done_at_least: 0.6, answered_at_least: 50 },
}
