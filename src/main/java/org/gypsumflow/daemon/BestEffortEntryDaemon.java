package org.gypsumflow.daemon;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.random.RandomGenerator;
import org.gypsumflow.command.EarliestFinishPlacement;
import org.gypsumflow.command.sharing.CapacityShares;
import org.gypsumflow.control.CompactedLogConsumer;
import org.gypsumflow.control.ConnectionManager;
import org.gypsumflow.control.ReceptionMonitor;
import org.gypsumflow.control.ReceptionProgress;
import org.gypsumflow.control.TimeSource;
import org.gypsumflow.http.GrizzlyHttpServer;
import org.gypsumflow.http.HttpClient;
import org.gypsumflow.model.MemberName;
import org.gypsumflow.platform.JobResource;
import org.gypsumflow.platform.OperatorRecordReader;
import org.gypsumflow.platform.ReadinessResource;
import org.gypsumflow.query.InterferenceQuery;
import org.gypsumflow.query.ShareQuery;
import org.gypsumflow.traffic.BestEffortEntry;

/** Entry daemon for best-effort jobs. */
final class BestEffortEntryDaemon extends BestEffortDaemon {
    /**
     * Time to accept jobs while draining: the platform takes two seconds to notice that a host is not ready and sends
     * callers until then.
     */
    private static final Duration ACCEPT_AFTER_NOT_READY = Duration.ofMillis(2200);

    private static final double NANOS_PER_SECOND = 1e9;
    private static final Duration WARM_UP_REQUEST_TIMEOUT = Duration.ofSeconds(1);
    private static final byte[] WARM_UP_BODY = "{}".getBytes(StandardCharsets.UTF_8);
    /** Path of the metrics address at which the shares of the services are listed. */
    private static final String SHARES_PATH = "/shares";

    private final BestEffortEntry entry;
    private final ReceptionProgress receptionProgress;
    private volatile boolean draining;
    private volatile boolean callersHaveCome;

    BestEffortEntryDaemon(BestEffortSettings settings) {
        super(settings, settings.callersAddress());
        this.entry = BestEffortEntry.create(
                trafficExecutor(),
                TimeSource.system(),
                EarliestFinishPlacement.policy(),
                routingState(),
                events(),
                metrics()::recordOutcome,
                settings.features().capacitySharing()
                        ? CapacityShares.create(settings.self().zone(), events(), metrics()::countDecision)
                        : CapacityShares.disabled(),
                settings.features(),
                metrics()::countDecision);
        this.receptionProgress = settings.features().overloadControl()
                ? ReceptionMonitor.start(trafficExecutor(), TimeSource.system(), entry::recordTimerDelay)
                : super.receptionProgress();
        metrics()
                .addGauge(
                        "processing_delay_seconds", () -> entry.standingDelay().toNanos() / NANOS_PER_SECOND);
        metrics().addGauge("job_limit", this::jobLimit);
        if (settings.features().jobBalancing()) {
            RandomGenerator random = new SplittableRandom();
            entry.balanceJobs(settings.self().zone(), (balancer, nowNanos) -> balancer.choosePeer(nowNanos, random));
            metrics().addGauge("entry.busy_share", entry::busyShare);
        }
        addQuery(SHARES_PATH, () -> entry.shareStatuses().thenApply(ShareQuery::list));
        if (settings.features().interferenceAvoidance()) {
            metrics().addGauge("interference.believed.pairs", entry::believedPairCount);
            addQuery("/interference", () -> entry.interferingPairs().thenApply(InterferenceQuery::rows));
        }
        GrizzlyHttpServer httpServer = httpServer();
        ReadinessResource.register(httpServer, this::isReady);
        JobResource.register(
                httpServer,
                () -> routingState().current().table(),
                entry::rejectIfTooLate,
                (job, arrivedNanos, timeLeft, disconnected) -> {
                    callersHaveCome = true;
                    return entry.submit(job, arrivedNanos, timeLeft, disconnected);
                },
                entry::cancel,
                entry::isActive,
                events());
    }

    private double jobLimit() {
        int limit = entry.jobLimit();
        return limit == Integer.MAX_VALUE ? Double.POSITIVE_INFINITY : limit;
    }

    @Override
    ReceptionProgress receptionProgress() {
        return receptionProgress;
    }

    @Override
    ConnectionManager.MemberListener memberListener() {
        return entry;
    }

    @Override
    void startServing() {
        entry.start();
        OperatorRecordReader recordReader = createRecordReader();
        CompactedLogConsumer.create(
                        store(),
                        OperatorRecordReader.TOPIC,
                        controlExecutor(),
                        recordReader::replaceAll,
                        recordReader::applyUpdates,
                        events(),
                        TimeSource.system(),
                        routingState()::confirmRead)
                .start();
        httpServer().bind(settings().readinessAddress());
        if (settings().warmUp()) {
            startWarmUp();
        }
    }

    @Override
    void closedZonesChanged() {
        entry.closedZonesChanged();
    }

    private void startWarmUp() {
        HttpClient client = HttpClient.createOnTransportOf(httpServer(), 1);
        String url =
                "http://" + settings().callersAddress().getAddress().getHostAddress() + ":" + httpPort() + "/warm-up";
        EntryWarmUp.start(
                createExecutor("warm-up"),
                TimeSource.system(),
                settings().features(),
                () -> client.post(url, EntryWarmUp.headersWithoutRoute(), WARM_UP_BODY, WARM_UP_REQUEST_TIMEOUT),
                () -> callersHaveCome || draining,
                events());
    }

    @Override
    CompletableFuture<Void> drain() {
        draining = true;
        httpServer().closeConnectionsAfterResponse();
        return entry.drain(ACCEPT_AFTER_NOT_READY);
    }

    @Override
    CompletableFuture<Void> abandonRemaining() {
        return entry.abandonAll("this host is shutting down");
    }

    @Override
    boolean watchesStore() {
        return true;
    }

    @Override
    void peersDiscovered(Set<MemberName> peers) {
        entry.peersDiscovered(peers);
    }

    private boolean isReady() {
        return !draining && routingState().current().table().isKnown() && entry.hasConnectedAgents();
    }
}
