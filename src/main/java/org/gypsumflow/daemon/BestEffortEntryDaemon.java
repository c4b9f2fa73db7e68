package org.gypsumflow.daemon;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.gypsumflow.command.EarliestFinishPlacement;
import org.gypsumflow.control.CompactedLogConsumer;
import org.gypsumflow.control.ConnectionManager;
import org.gypsumflow.control.TimeSource;
import org.gypsumflow.http.GrizzlyHttpServer;
import org.gypsumflow.platform.JobResource;
import org.gypsumflow.platform.OperatorRecordReader;
import org.gypsumflow.platform.ReadinessResource;
import org.gypsumflow.traffic.BestEffortEntry;

/** The entry role on the users' platform. */
final class BestEffortEntryDaemon extends BestEffortDaemon {
    /** The platform needs two seconds to see that a host is not ready; until then new callers arrive. */
    private static final Duration STILL_TAKING = Duration.ofMillis(2200);

    private final BestEffortEntry entry;
    private volatile boolean leaving;

    BestEffortEntryDaemon(BestEffortSettings settings) {
        super(settings, settings.callersAddress());
        this.entry = BestEffortEntry.create(
                trafficExecutor(),
                TimeSource.system(),
                EarliestFinishPlacement.policy(),
                routingState(),
                events(),
                metrics()::recordOutcome);
        GrizzlyHttpServer front = httpServer();
        ReadinessResource.register(front, this::isReady);
        JobResource.register(
                front, () -> routingState().current().table(), entry::submit, entry::cancel, entry::isActive, events());
    }

    @Override
    ConnectionManager.MemberListener memberListener() {
        return entry;
    }

    @Override
    void startServing() {
        entry.start();
        OperatorRecordReader records = OperatorRecordReader.create(
                known -> {
                    if (routingState().update(known, "the store")) {
                        entry.closedZonesChanged();
                        connectionManager()
                                .connections()
                                .forEach(link -> link.send(routingState().current()));
                    }
                },
                events());
        CompactedLogConsumer.create(
                        store(),
                        OperatorRecordReader.TOPIC,
                        controlExecutor(),
                        records::replaceAll,
                        records::applyUpdates,
                        events())
                .start();
        httpServer().bind(settings().readinessAddress());
    }

    @Override
    CompletableFuture<Void> drain() {
        leaving = true;
        httpServer().closeConnectionsAfterResponse();
        return entry.drain(STILL_TAKING);
    }

    @Override
    CompletableFuture<Void> abandonRemaining() {
        return entry.abandonAll("this host is leaving");
    }

    @Override
    boolean watchesStore() {
        return true;
    }

    private boolean isReady() {
        return !leaving && routingState().current().table().isKnown() && entry.hasConnectedAgents();
    }
}
