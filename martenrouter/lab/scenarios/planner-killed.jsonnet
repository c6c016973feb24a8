// Planners killed and stopped again and again while answers and tool conversations are open.
{
  name: 'planner-killed',
  about: 'planners are killed and stopped again and again under load, with tool conversations open and an engine draining',
  seconds: 20,
  planners: true,
  cells: [{ rd: 2, wr: 3 }, { rd: 2, wr: 3 }],
  traffic: { rate: 32, shares: [0.6, 0.2, 0.2], tools: ['meter', 'set_valve'], tool_ms: 200, deadline_ms: 9000, rejoin: 0.05,
             max_tokens: 40 },
  faults: [{ at: 1 + 1.5 * i, kind: if i % 3 == 2 then 'planner_stop' else 'planner_kill', target: 'front-%d' % (i % 2),
             length: [0.2, 2, 0.6][i % 3], again: 0.2 + 0.1 * (i % 4) } for i in std.range(0, 11)]
          + [{ at: 6, kind: 'drain', target: 'wr', length: 3, again: 1 }, { at: 12, kind: 'crash', target: 'rd', again: 1 },
             { at: 15, kind: 'hang', target: 'wr', length: 2 }],
  expect: { done_at_least: 0.85, answered_at_least: 400 },
}
