// One evening on which everything happens, one after another and overlapping.
{
  name: 'bad-day',
  about: 'hang, slow link, crash and cold return, drain, silent list, burst, a front killed, clients that leave',
  seconds: 22,
  cells: [{ rd: 2, wr: 2 }, { rd: 2, wr: 2 }],
  traffic: { rate: 20, shares: [0.6, 0.25, 0.15], cancel: 0.04, leave: 0.04, early: 0.02 },
  faults: [
    { at: 2, kind: 'hang', target: 'wr', length: 4 },
    { at: 4, kind: 'link', target: 'cell-0', length: 4, value: 40 },
    { at: 6, kind: 'crash', target: 'rd', again: 1.5 },
    { at: 9, kind: 'drain', target: 'wr', length: 3, again: 1 },
    { at: 11, kind: 'list_silent', length: 3 },
    { at: 12, kind: 'burst', value: 2, length: 3 },
    { at: 13, kind: 'reset_after', target: 'wr', length: 2, value: 4 },
    { at: 15, kind: 'front_kill', target: 'front-1', again: 1.5 },
    { at: 17, kind: 'crash', target: 'wr', again: 1 },
    { at: 18, kind: 'half_open', target: 'rd', length: 2 },
  ],
  expect: { done_at_least: 0.6, answered_at_least: 300 },
}
