module dispatch

-- The core protocol: claim in the log, start at an agent, resolve, takeover, closing.
-- One submission with one task is modelled; submissions do not interact.

open util/ordering[Offset]

sig Offset {}

sig Entry {
  var claimed: lone Offset,        -- where this entry's claim landed in the log
  var readTo: set Offset           -- offsets that it has read
}
var sig Asked in Entry {}          -- entries whose append is under way (its answer may be lost)
var sig Abandoned in Entry {}      -- entries that gave up and swore to start nothing
var sig Cleared in Entry {}        -- entries that read their claim back as the first one

sig Agent { zone: one Zone }
sig Life { agent: one Agent }      -- one life of an agent process
var sig Up in Life {}
var sig Sent in Life {}            -- lives to which a start is under way
var sig Started in Life {}         -- lives that started the task
var sig Tombstoned in Life {}      -- lives that will never start it
var sig Unresolved in Life {}      -- lives to which a start was sent and that proved nothing yet
var sig Stale in Agent {}          -- agents whose configuration is not confirmed
var sig Knows in Agent {}          -- agents that know of the closing

sig Zone {}
var lone sig Closed in Zone {}     -- zone that the log says is closed
var lone sig Bound in Zone {}      -- zone whose closing is older than the bound

fun landed: set Offset { Entry.claimed }
fun firstClaim: lone Offset { { o: landed | no o.prevs & landed } }

pred init {
  no claimed and no readTo and no Asked and no Abandoned and no Cleared
  no Sent and no Started and no Tombstoned and no Unresolved and no Stale and no Knows and no Closed and no Bound
  all a: Agent | one l: Life | l.agent = a and l in Up
}

pred logSame { claimed' = claimed and readTo' = readTo and Asked' = Asked and Abandoned' = Abandoned and Cleared' = Cleared }
pred taskSame { Sent' = Sent and Started' = Started and Tombstoned' = Tombstoned and Unresolved' = Unresolved and Up' = Up }
pred zoneSame { Stale' = Stale and Knows' = Knows and Closed' = Closed and Bound' = Bound }

pred ask[e: Entry] {
  e not in Asked and no e.claimed and e not in Abandoned
  Asked' = Asked + e
  claimed' = claimed and readTo' = readTo and Abandoned' = Abandoned and Cleared' = Cleared and taskSame and zoneSame
}

-- The write takes effect, perhaps long after the entry gave up.
pred land[e: Entry, o: Offset] {
  e in Asked and no e.claimed and o not in landed and (o.prevs in landed)
  claimed' = claimed + e->o
  readTo' = readTo and Asked' = Asked and Abandoned' = Abandoned and Cleared' = Cleared and taskSame and zoneSame
}

pred abandon[e: Entry] {
  e in Asked and e not in Cleared and e not in Abandoned
  Abandoned' = Abandoned + e
  claimed' = claimed and readTo' = readTo and Asked' = Asked and Cleared' = Cleared and taskSame and zoneSame
}

pred readBack[e: Entry] {
  some e.claimed and e not in Abandoned and e not in Cleared
  readTo' = readTo + e->(landed & (e.claimed + e.claimed.prevs))
  e.claimed = firstClaim implies Cleared' = Cleared + e else Cleared' = Cleared
  claimed' = claimed and Asked' = Asked and Abandoned' = Abandoned and taskSame and zoneSame
}

pred maySend[e: Entry] { e in Cleared }
pred mayPlace { no Unresolved }

pred send[e: Entry, l: Life] {
  maySend[e] and mayPlace and l in Up and l.agent.zone not in Closed
  Sent' = Sent + l and Unresolved' = Unresolved + l
  Started' = Started and Tombstoned' = Tombstoned and Up' = Up and logSame and zoneSame
}

pred mayStart[l: Life] { l not in Tombstoned and l not in Started and l.agent not in Stale and not (l.agent in Knows and l.agent.zone in Closed) }

pred start[l: Life] {
  l in Sent and l in Up and mayStart[l]
  Started' = Started + l and Sent' = Sent - l
  Tombstoned' = Tombstoned and Unresolved' = Unresolved and Up' = Up and logSame and zoneSame
}

-- The agent refuses, which proves that it did not and will not start this attempt.
pred refuse[l: Life] {
  l in Sent and l in Up and l not in Started
  Tombstoned' = Tombstoned + l and Sent' = Sent - l and Unresolved' = Unresolved - l
  Started' = Started and Up' = Up and logSame and zoneSame
}

pred lose[l: Life] {
  l in Sent
  Sent' = Sent - l
  Started' = Started and Tombstoned' = Tombstoned and Unresolved' = Unresolved and Up' = Up and logSame and zoneSame
}

-- Resolve: a life that did not start the task is tombstoned, and only then is the placement free again.
pred resolve[l: Life] {
  l in Unresolved and l in Up and l not in Started
  Tombstoned' = Tombstoned + l and Unresolved' = Unresolved - l
  Sent' = Sent and Started' = Started and Up' = Up and logSame and zoneSame
}

-- A restarted agent is another life; the answer of the new life proves nothing about the old one.
pred restart[l, next: Life] {
  l in Up and next not in Up and next.agent = l.agent and next not in Sent + Started + Tombstoned
  Up' = Up - l + next
  Sent' = Sent and Started' = Started and Tombstoned' = Tombstoned and Unresolved' = Unresolved and logSame and zoneSame
}

pred close[z: Zone] {
  no Closed
  Closed' = z
  Stale' = Stale and Knows' = Knows and Bound' = Bound and logSame and taskSame
}

pred learn[a: Agent] {
  some Closed
  Knows' = Knows + a and Stale' = Stale - a
  Closed' = Closed and Bound' = Bound and logSame and taskSame
}

pred expire[a: Agent] {
  Stale' = Stale + a
  Knows' = Knows and Closed' = Closed and Bound' = Bound and logSame and taskSame
}

-- The bound has passed: by then every agent either knows of the closing or is stale.
pred boundPassed { some Closed and no Bound and all a: Agent | a in Knows + Stale }
pred pass {
  boundPassed
  Bound' = Closed
  Stale' = Stale and Knows' = Knows and Closed' = Closed and logSame and taskSame
}

pred idle { logSame and taskSame and zoneSame }

pred step {
  (some e: Entry | ask[e] or abandon[e] or readBack[e] or (some o: Offset | land[e, o]) or (some l: Life | send[e, l]))
  or (some l: Life | start[l] or refuse[l] or lose[l] or resolve[l] or (some n: Life | restart[l, n]))
  or (some z: Zone | close[z]) or (some a: Agent | learn[a] or expire[a]) or pass or idle
}

fact traces { init and always step }

assert startsOnce { always lone Started }
assert onlyTheFirstClaimStarts { always (some Started implies some e: Cleared | e.claimed = firstClaim) }
assert oneHolder { always lone Cleared }
assert abandonedNeverStarts { always no Cleared & Abandoned }
assert notRunIsTrue { always all l: Tombstoned | always l not in Started }
assert nothingStartsAfterTheBound {
  always all l: Life | (l not in Started and l.agent.zone in Bound) implies after l not in Started
}
