// Answers that stop for meter readings, nothing else goes wrong.
{
  name: 'tools',
  about: 'answers stop midway for tools; clients answer them, some come back on another connection',
  seconds: 8,
  traffic: { rate: 12, shares: [0.6, 0.25, 0.15], tools: ['meter', 'bill', 'set_valve'], rejoin: 0.1, deadline_ms: 9000 },
  expect: { done_at_least: 0.9, answered_at_least: 50 },
}
