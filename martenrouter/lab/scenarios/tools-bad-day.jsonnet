// A hundred conversations at once, and each fault that can meet one in its pause.
{
  name: 'tools-bad-day',
  about: 'a hundred conversations at once while writers hang, drain, crash and come back, arguments are spoilt, readers die',
  seconds: 16,
  cells: [{ rd: 2, wr: 3 }, { rd: 2, wr: 3 }],
  traffic: { rate: 36, shares: [0.7, 0.15, 0.15], tools: ['meter', 'bill', 'set_valve'], rejoin: 0.08, cancel: 0.03,
             leave: 0.03, tool_ms: 400, tool_silent: 0.01, deadline_ms: 9000, max_tokens: 48 },
  settings: { limits: { tool_call_within_ms: 3000 } },
  faults: [
    { at: 1.5, kind: 'slow', target: 'wr', length: 3, value: 8 },
    { at: 3, kind: 'crash', target: 'wr', again: 1 },
    { at: 4.5, kind: 'drain', target: 'wr', length: 2, again: 1 },
    { at: 6, kind: 'bad_arguments', target: 'wr', length: 1.5 },
    { at: 7, kind: 'crash', target: 'rd', again: 1 },
    { at: 8.5, kind: 'endless_arguments', target: 'wr', length: 1 },
    { at: 9.5, kind: 'no_finish', target: 'wr', length: 1.5 },
    { at: 11, kind: 'hang', target: 'wr', length: 3 },
    { at: 12, kind: 'crash', target: 'wr', again: 0.3 },
    { at: 13, kind: 'stall_after', target: 'wr', length: 3, value: 3 },
    { at: 14, kind: 'refuse', target: 'wr', length: 1 },
  ],
  expect: { done_at_least: 0.5, answered_at_least: 300 },
}
