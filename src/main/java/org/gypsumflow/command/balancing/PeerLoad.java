package org.gypsumflow.command.balancing;

import java.time.Duration;

/**
 * The load of another entry, as that entry told it last.
 *
 * @param delay time that requests wait there until it acts on them
 * @param busyShare share of the recent time that it was busy, from 0.0 to 1.0
 * @param roundTrip time of a message there and of the reply
 * @param inOwnZone true if it is in the zone of this entry
 */
public record PeerLoad(Duration delay, double busyShare, Duration roundTrip, boolean inOwnZone) {}
