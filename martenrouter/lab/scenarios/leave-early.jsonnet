// a third of the clients cancel or leave, some have next to no time
{
  name: 'leave-early',
  about: 'a third of the clients cancel or leave, some have next to no time',
  seconds: 8,
  traffic: { rate: 12, shares: [0.6, 0.25, 0.15], cancel: 0.15, leave: 0.15, early: 0.1 },
  faults: [],
  expect: { done_at_least: 0.4, answered_at_least: 50 },
}
