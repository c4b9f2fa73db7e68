module dispatch

-- Models claims in the log, task starts at agents, resolution of uncertain starts, takeover and zone closing.
-- One submission with one task is enough, since submissions do not interact.

open util/ordering[Offset]

sig Offset {}

sig Entry {
  var claimed: lone Offset,            -- offset of the claim of this entry in the log
  var readOffsets: set Offset          -- offsets that this entry has read
}
var sig AppendRequested in Entry {}    -- entries that requested an append (its response may be lost)
var sig Abandoned in Entry {}          -- entries that abandoned their claim and must not start the task
var sig Confirmed in Entry {}          -- entries that read back their claim as the first one

sig Agent { zone: one Zone }
sig Incarnation { agent: one Agent }   -- one start of an agent process
var sig Running in Incarnation {}
var sig Sent in Incarnation {}         -- incarnations with a start request in transit
var sig Started in Incarnation {}      -- incarnations that started the task
var sig Tombstoned in Incarnation {}   -- incarnations that will never start the task
var sig Unresolved in Incarnation {}   -- incarnations with a start request of unknown effect
var sig Stale in Agent {}              -- agents whose configuration is too old to be trusted
var sig Informed in Agent {}           -- agents that received the zone closing

sig Zone {}
var lone sig Closed in Zone {}         -- zone whose closing is in the log
var lone sig ClosedPastBound in Zone {} -- closed zone whose closing is older than the bound

fun committed: set Offset { Entry.claimed }
fun firstClaim: lone Offset { { o: committed | no o.prevs & committed } }

pred init {
  no claimed and no readOffsets and no AppendRequested and no Abandoned and no Confirmed
  no Sent and no Started and no Tombstoned and no Unresolved and no Stale and no Informed and no Closed and no ClosedPastBound
  all a: Agent | one l: Incarnation | l.agent = a and l in Running
}

pred logUnchanged { claimed' = claimed and readOffsets' = readOffsets and AppendRequested' = AppendRequested and Abandoned' = Abandoned and Confirmed' = Confirmed }
pred taskUnchanged { Sent' = Sent and Started' = Started and Tombstoned' = Tombstoned and Unresolved' = Unresolved and Running' = Running }
pred zoneUnchanged { Stale' = Stale and Informed' = Informed and Closed' = Closed and ClosedPastBound' = ClosedPastBound }

pred requestAppend[e: Entry] {
  e not in AppendRequested and no e.claimed and e not in Abandoned
  AppendRequested' = AppendRequested + e
  claimed' = claimed and readOffsets' = readOffsets and Abandoned' = Abandoned and Confirmed' = Confirmed and taskUnchanged and zoneUnchanged
}

-- The append takes effect, possibly long after the entry abandoned the claim.
pred commitAppend[e: Entry, o: Offset] {
  e in AppendRequested and no e.claimed and o not in committed and (o.prevs in committed)
  claimed' = claimed + e->o
  readOffsets' = readOffsets and AppendRequested' = AppendRequested and Abandoned' = Abandoned and Confirmed' = Confirmed and taskUnchanged and zoneUnchanged
}

pred abandon[e: Entry] {
  e in AppendRequested and e not in Confirmed and e not in Abandoned
  Abandoned' = Abandoned + e
  claimed' = claimed and readOffsets' = readOffsets and AppendRequested' = AppendRequested and Confirmed' = Confirmed and taskUnchanged and zoneUnchanged
}

pred readBack[e: Entry] {
  some e.claimed and e not in Abandoned and e not in Confirmed
  readOffsets' = readOffsets + e->(committed & (e.claimed + e.claimed.prevs))
  e.claimed = firstClaim implies Confirmed' = Confirmed + e else Confirmed' = Confirmed
  claimed' = claimed and AppendRequested' = AppendRequested and Abandoned' = Abandoned and taskUnchanged and zoneUnchanged
}

pred maySend[e: Entry] { e in Confirmed }
pred mayPlace { no Unresolved }

pred send[e: Entry, l: Incarnation] {
  maySend[e] and mayPlace and l in Running and l.agent.zone not in Closed
  Sent' = Sent + l and Unresolved' = Unresolved + l
  Started' = Started and Tombstoned' = Tombstoned and Running' = Running and logUnchanged and zoneUnchanged
}

pred mayStart[l: Incarnation] { l not in Tombstoned and l not in Started and l.agent not in Stale and not (l.agent in Informed and l.agent.zone in Closed) }

pred start[l: Incarnation] {
  l in Sent and l in Running and mayStart[l]
  Started' = Started + l and Sent' = Sent - l
  Tombstoned' = Tombstoned and Unresolved' = Unresolved and Running' = Running and logUnchanged and zoneUnchanged
}

-- A rejection proves that the agent did not and will not start this attempt.
pred reject[l: Incarnation] {
  l in Sent and l in Running and l not in Started
  Tombstoned' = Tombstoned + l and Sent' = Sent - l and Unresolved' = Unresolved - l
  Started' = Started and Running' = Running and logUnchanged and zoneUnchanged
}

pred loseMessage[l: Incarnation] {
  l in Sent
  Sent' = Sent - l
  Started' = Started and Tombstoned' = Tombstoned and Unresolved' = Unresolved and Running' = Running and logUnchanged and zoneUnchanged
}

-- An incarnation that did not start the task is tombstoned; only then may the task be placed elsewhere.
pred resolve[l: Incarnation] {
  l in Unresolved and l in Running and l not in Started
  Tombstoned' = Tombstoned + l and Unresolved' = Unresolved - l
  Sent' = Sent and Started' = Started and Running' = Running and logUnchanged and zoneUnchanged
}

-- A restarted agent is a new incarnation; its replies prove nothing about the earlier incarnation.
pred restart[l, next: Incarnation] {
  l in Running and next not in Running and next.agent = l.agent and next not in Sent + Started + Tombstoned
  Running' = Running - l + next
  Sent' = Sent and Started' = Started and Tombstoned' = Tombstoned and Unresolved' = Unresolved and logUnchanged and zoneUnchanged
}

pred closeZone[z: Zone] {
  no Closed
  Closed' = z
  Stale' = Stale and Informed' = Informed and ClosedPastBound' = ClosedPastBound and logUnchanged and taskUnchanged
}

pred learnClosing[a: Agent] {
  some Closed
  Informed' = Informed + a and Stale' = Stale - a
  Closed' = Closed and ClosedPastBound' = ClosedPastBound and logUnchanged and taskUnchanged
}

pred expireConfiguration[a: Agent] {
  Stale' = Stale + a
  Informed' = Informed and Closed' = Closed and ClosedPastBound' = ClosedPastBound and logUnchanged and taskUnchanged
}

-- When the bound has passed, every agent has either received the closing or is stale.
pred canPassBound { some Closed and no ClosedPastBound and all a: Agent | a in Informed + Stale }
pred passBound {
  canPassBound
  ClosedPastBound' = Closed
  Stale' = Stale and Informed' = Informed and Closed' = Closed and logUnchanged and taskUnchanged
}

pred stutter { logUnchanged and taskUnchanged and zoneUnchanged }

pred step {
  (some e: Entry | requestAppend[e] or abandon[e] or readBack[e] or (some o: Offset | commitAppend[e, o]) or (some l: Incarnation | send[e, l]))
  or (some l: Incarnation | start[l] or reject[l] or loseMessage[l] or resolve[l] or (some n: Incarnation | restart[l, n]))
  or (some z: Zone | closeZone[z]) or (some a: Agent | learnClosing[a] or expireConfiguration[a]) or passBound or stutter
}

fact traces { init and always step }

assert startsOnce { always lone Started }
assert onlyTheFirstClaimStarts { always (some Started implies some e: Confirmed | e.claimed = firstClaim) }
assert oneHolder { always lone Confirmed }
assert abandonedNeverStarts { always no Confirmed & Abandoned }
assert notRunIsTrue { always all l: Tombstoned | always l not in Started }
assert nothingStartsAfterTheBound {
  always all l: Incarnation | (l not in Started and l.agent.zone in ClosedPastBound) implies after l not in Started
}
