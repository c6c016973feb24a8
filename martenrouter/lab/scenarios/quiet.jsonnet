// An ordinary few seconds: everything is up, nothing goes wrong.
{
  name: 'quiet',
  about: 'ordinary traffic of all three kinds of endpoint group, nothing goes wrong',
  seconds: 6,
  traffic: { rate: 15, shares: [0.6, 0.25, 0.15] },
  expect: { done_at_least: 0.97, answered_at_least: 50 },
}
