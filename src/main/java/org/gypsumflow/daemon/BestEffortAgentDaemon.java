package org.gypsumflow.daemon;

import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.gypsumflow.control.ConnectionManager;
import org.gypsumflow.control.RoutingStateFallback;
import org.gypsumflow.control.TimeSource;
import org.gypsumflow.http.HttpClient;
import org.gypsumflow.model.MemberName;
import org.gypsumflow.platform.HttpWorkerClient;
import org.gypsumflow.platform.OperatorRecordReader;
import org.gypsumflow.platform.WorkerReportResource;
import org.gypsumflow.traffic.BestEffortAgent;

/** Agent daemon for best-effort jobs. */
final class BestEffortAgentDaemon extends BestEffortDaemon {
    /**
     * Connections to the worker: one waits for finished tasks, the others carry starts and stops. New connections are
     * billed.
     */
    private static final int WORKER_CONNECTIONS = 4;
    /** The same where calls are sent again while the connections of their first copies wait for the timeout. */
    private static final int WORKER_CONNECTIONS_WITH_RECOVERY = 12;

    private final BestEffortAgent agent;

    BestEffortAgentDaemon(BestEffortSettings settings) {
        super(settings, settings.reportsAddress());
        HttpWorkerClient worker = HttpWorkerClient.create(
                HttpClient.createOnTransportOf(
                        httpServer(),
                        settings.features().promptCallRecovery()
                                ? WORKER_CONNECTIONS_WITH_RECOVERY
                                : WORKER_CONNECTIONS),
                settings.workerAddress(),
                events());
        this.agent = BestEffortAgent.create(
                trafficExecutor(),
                TimeSource.system(),
                worker,
                routingState(),
                events(),
                settings.features(),
                metrics()::countDecision);
        WorkerReportResource.register(httpServer(), agent::workerReported, agent::workerLeft, events());
    }

    @Override
    ConnectionManager.MemberListener memberListener() {
        return agent;
    }

    @Override
    void startServing() {
        agent.start();
        RoutingStateFallback.create(
                        store(),
                        OperatorRecordReader.TOPIC,
                        controlExecutor(),
                        TimeSource.system(),
                        routingState(),
                        () -> !connectionManager().connections().isEmpty(),
                        createRecordReader()::replaceAll,
                        events(),
                        metrics()::countDecision)
                .start();
    }

    @Override
    void closedZonesChanged() {
        agent.closedZonesChanged();
    }

    @Override
    CompletableFuture<Void> drain() {
        return agent.drain();
    }

    @Override
    CompletableFuture<Void> abandonRemaining() {
        return agent.stopAllTasks();
    }

    @Override
    boolean watchesStore() {
        return false;
    }

    @Override
    void peersDiscovered(Set<MemberName> peers) {}
}
