// the list says nothing for four seconds while an engine drains
{
  name: 'list-silent',
  about: 'the list says nothing for four seconds while an engine drains',
  seconds: 9,
  traffic: { rate: 12, shares: [0.6, 0.25, 0.15] },
  faults: [{ at: 1.5, kind: 'list_silent', length: 4 }, { at: 2, kind: 'drain', target: 'rd', length: 3, again: 1 }],
  expect: { done_at_least: 0.6, answered_at_least: 50 },
}
