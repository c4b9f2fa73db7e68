package org.gypsumflow.daemon;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.gypsumflow.command.EarliestFinishPlacement;
import org.gypsumflow.control.KeyedFollower;
import org.gypsumflow.control.NodeLinks;
import org.gypsumflow.control.TimeSource;
import org.gypsumflow.http.GrizzlyHttpServer;
import org.gypsumflow.platform.JobCalls;
import org.gypsumflow.platform.OperatorRecords;
import org.gypsumflow.platform.Readiness;
import org.gypsumflow.traffic.BestEffortEntry;

/** The entry role on the users' platform. */
final class DispatchEntryDaemon extends DispatchDaemon {
    /** The platform needs two seconds to see that a host is not ready; until then new callers arrive. */
    private static final Duration STILL_TAKING = Duration.ofMillis(2200);

    private final BestEffortEntry entry;
    private volatile boolean leaving;

    DispatchEntryDaemon(DispatchSettings settings) {
        super(settings, settings.callers());
        this.entry = BestEffortEntry.create(
                traffic(),
                TimeSource.system(),
                EarliestFinishPlacement.policy(),
                state(),
                events(),
                metrics()::answered);
        GrizzlyHttpServer front = front();
        Readiness.register(front, this::isReady);
        JobCalls.register(
                front, () -> state().known().table(), entry::submit, entry::cancel, entry::isActive, events());
    }

    @Override
    NodeLinks.Listener listener() {
        return entry;
    }

    @Override
    void serve() {
        entry.start();
        OperatorRecords records = OperatorRecords.create(
                known -> {
                    if (state().offer(known, "the store")) {
                        entry.closedZonesChanged();
                        links().links().forEach(link -> link.send(state().known()));
                    }
                },
                events());
        KeyedFollower.create(
                        store(), OperatorRecords.TOPIC, control(), records::takeWhole, records::takeChanges, events())
                .start();
        front().bind(settings().readiness());
    }

    @Override
    CompletableFuture<Void> drain() {
        leaving = true;
        front().closeConnectionsAfterResponse();
        return entry.drain(STILL_TAKING);
    }

    @Override
    CompletableFuture<Void> giveUp() {
        return entry.abandonAll("this host is leaving");
    }

    @Override
    boolean followsStore() {
        return true;
    }

    private boolean isReady() {
        return !leaving && state().known().table().isKnown() && entry.hasConnectedAgents();
    }
}
