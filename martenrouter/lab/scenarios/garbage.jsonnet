// a writer answers with bytes that are not HTTP
{
  name: 'garbage',
  about: 'a writer answers with bytes that are not HTTP',
  seconds: 8,
  traffic: { rate: 12, shares: [0.6, 0.25, 0.15] },
  faults: [{ at: 2, kind: 'garbage', target: 'wr', length: 3 }],
  expect: { done_at_least: 0.6, answered_at_least: 50 },
}
