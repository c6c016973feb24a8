// Customers with caps, rates and places, of which some ask for more than they have; nothing fails.
{
  name: 'budgets',
  about: 'caps, rates and places by customer on two fronts, one customer greedy; charges are checked against the traffic',
  seconds: 10,
  planners: true,
  traffic: { rate: 16, shares: [0.6, 0.2, 0.2], customers: ['ada', 'bo', 'cy', 'dee'], deadline_ms: 6000, cancel: 0.04, leave: 0.03, rejoin: 0.03 },
  faults: [{ at: 2, kind: 'greedy', length: 6, value: 3 }],
  settings: { budgets: {
    read_price: 1, write_price: 4,
    customers: { ada: { cap: 14000 }, bo: { cap: 9000, on_cap: 'end' }, cy: { rate_per_s: 700, burst: 2000 }, dee: { open: 4 } },
    installation: { cap: 10000000 },
  } },
  expect: { done_at_least: 0.2, answered_at_least: 100 },
}
