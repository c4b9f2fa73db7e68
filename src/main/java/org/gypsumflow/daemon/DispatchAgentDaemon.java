package org.gypsumflow.daemon;

import java.util.concurrent.CompletableFuture;
import org.gypsumflow.control.NodeLinks;
import org.gypsumflow.control.TimeSource;
import org.gypsumflow.http.HttpClient;
import org.gypsumflow.platform.HttpWorker;
import org.gypsumflow.platform.WorkerReports;
import org.gypsumflow.traffic.BestEffortAgent;

/** The agent role on the users' platform. */
final class DispatchAgentDaemon extends DispatchDaemon {
    /** Connections to the worker: one waits for ends, the others carry starts and stops. New ones are priced. */
    private static final int WORKER_CONNECTIONS = 4;

    private final BestEffortAgent agent;

    DispatchAgentDaemon(DispatchSettings settings) {
        super(settings, settings.reports());
        HttpWorker worker =
                HttpWorker.create(HttpClient.createOnTransportOf(front(), WORKER_CONNECTIONS), settings.worker());
        this.agent = BestEffortAgent.create(traffic(), TimeSource.system(), worker, state(), events());
        WorkerReports.register(front(), agent::workerReported, agent::workerLeft, events());
    }

    @Override
    NodeLinks.Listener listener() {
        return agent;
    }

    @Override
    void serve() {
        agent.start();
    }

    @Override
    CompletableFuture<Void> drain() {
        return agent.drain();
    }

    @Override
    CompletableFuture<Void> giveUp() {
        return agent.stopAllTasks();
    }

    @Override
    boolean followsStore() {
        return false;
    }
}
