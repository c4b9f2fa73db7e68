package org.gypsumflow.traffic;

import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.gypsumflow.command.RetryPolicy;
import org.gypsumflow.control.EntrySnapshot;
import org.gypsumflow.control.TimeSource;
import org.gypsumflow.model.EventLog;
import org.gypsumflow.model.Incarnation;
import org.gypsumflow.model.Tracing;

/** Settings, clocks and shared components of one entry, passed to the classes that process its submissions. */
record EntryContext(
        Incarnation self,
        TrafficSettings settings,
        TimeSource time,
        RandomGenerator random,
        Supplier<EntrySnapshot> snapshotSupplier,
        PlacementQueue placementQueue,
        RetryPolicy retryPolicy,
        PendingRequests pendingRequests,
        TicketIssuer ticketIssuer,
        EventLog events,
        Tracing tracing,
        AtomicInteger openSubmissions) {

    EntrySnapshot snapshot() {
        return snapshotSupplier.get();
    }

    void submissionOpened() {
        openSubmissions.incrementAndGet();
    }

    void submissionEnded() {
        openSubmissions.decrementAndGet();
    }
}
