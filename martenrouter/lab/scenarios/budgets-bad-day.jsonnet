// The same with fronts and planners killed, engines that fail, answers read anew.
{
  name: 'budgets-bad-day',
  about: 'budgets while fronts and planners are killed, engines crash, hang and reset',
  seconds: 20,
  planners: true,
  cells: [{ rd: 2, wr: 2 }, { rd: 2, wr: 2 }],
  traffic: { rate: 18, shares: [0.6, 0.2, 0.2], customers: ['ada', 'bo', 'cy', 'dee'], deadline_ms: 6000, cancel: 0.04, leave: 0.03, rejoin: 0.03 },
  faults: [
    { at: 2, kind: 'greedy', length: 15, value: 2 },
    { at: 3, kind: 'front_kill', target: 'front-0', again: 0.5 },
    { at: 5, kind: 'planner_kill', target: 'front-1', again: 0.3 },
    { at: 6, kind: 'reset_after', target: 'wr', length: 3, value: 5 },
    { at: 8, kind: 'front_kill', target: 'front-1', again: 0.4 },
    { at: 9, kind: 'planner_stop', target: 'front-0', length: 1 },
    { at: 11, kind: 'crash', target: 'wr', again: 1 },
    { at: 13, kind: 'front_kill', target: 'front-0', again: 0.3 },
    { at: 15, kind: 'hang', target: 'rd', length: 2 },
  ],
  settings: { budgets: {
    read_price: 1, write_price: 4,
    customers: { ada: { cap: 30000 }, bo: { cap: 20000, on_cap: 'end' }, cy: { rate_per_s: 900, burst: 3000 }, dee: { open: 4 } },
  } },
  expect: { done_at_least: 0.2, answered_at_least: 150 },
}
