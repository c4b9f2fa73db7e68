package org.gypsumflow.daemon;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Supplier;
import org.gypsumflow.control.ConnectionManager;
import org.gypsumflow.control.MemberDiscovery;
import org.gypsumflow.control.ReceptionProgress;
import org.gypsumflow.control.RoutingStateCache;
import org.gypsumflow.control.SerialExecutor;
import org.gypsumflow.control.TimeSource;
import org.gypsumflow.http.GrizzlyHttpServer;
import org.gypsumflow.http.GrizzlyHttpServer.ServerRequest;
import org.gypsumflow.http.GrizzlyHttpServer.ServerResponse;
import org.gypsumflow.http.HttpClient;
import org.gypsumflow.log.CompactedLog;
import org.gypsumflow.model.Event;
import org.gypsumflow.model.EventLog;
import org.gypsumflow.model.Incarnation;
import org.gypsumflow.model.Member;
import org.gypsumflow.model.MemberName;
import org.gypsumflow.platform.HttpCompactedLog;
import org.gypsumflow.platform.OperatorRecordReader;
import org.gypsumflow.wire.MemberCodec;
import org.gypsumflow.wire.NettyTransport;

/** Base of the best-effort entry and agent daemons: executors, connections, the store, start and shutdown. */
abstract class BestEffortDaemon implements Daemon {
    private static final int OK = 200;
    /**
     * Share of the grace period that a shutdown may wait for active work; the rest is left to stop the process itself.
     */
    private static final double GRACE_PERIOD_SHARE = 0.88;
    /** Connections to the store: one for each of two consumed topics, one for writes, and one spare. */
    private static final int STORE_CONNECTIONS = 4;
    /** Time for the last responses to reach their receivers before the process ends. */
    private static final long FLUSH_MILLIS = 100;

    private final BestEffortSettings settings;
    private volatile Duration gracePeriod;
    private final BestEffortMetrics metrics = BestEffortMetrics.create();
    private final EventLog events = metrics.countingEventLog(new TinylogEventLog());
    private final List<SingleThreadExecutor> executors = new ArrayList<>();
    private final NettyTransport transport;
    private final GrizzlyHttpServer httpServer;
    private final RoutingStateCache routingState;
    private final SerialExecutor controlExecutor;
    private final SerialExecutor trafficExecutor;
    private final CompactedLog store;
    private final Map<String, Supplier<CompletableFuture<?>>> queries = new ConcurrentHashMap<>();
    private ConnectionManager connectionManager;
    private MemberDiscovery memberDiscovery;

    BestEffortDaemon(BestEffortSettings settings, InetSocketAddress httpAddress) {
        this.settings = settings;
        this.gracePeriod = settings.gracePeriod();
        metrics.addGauge("log.lines.dropped", BufferedConsoleWriter::droppedLines);
        this.transport = NettyTransport.create("netty", 1, events);
        this.controlExecutor = createExecutor("control");
        this.trafficExecutor = SingleThreadExecutor.on(transport.thread(), "traffic", events);
        this.routingState = RoutingStateCache.create(events);
        this.httpServer =
                GrizzlyHttpServer.create(httpAddress.getAddress().getHostAddress(), httpAddress.getPort(), 1, events);
        this.store = HttpCompactedLog.create(
                HttpClient.createOnTransportOf(httpServer, STORE_CONNECTIONS), settings.storeAddress(), events);
    }

    static Daemon start(BestEffortSettings settings) {
        BestEffortDaemon daemon = settings.self().role() == Member.Role.ENTRY
                ? new BestEffortEntryDaemon(settings)
                : new BestEffortAgentDaemon(settings);
        daemon.startDaemon();
        return daemon;
    }

    /** Returns the listener that receives members, job messages and routing states. */
    abstract ConnectionManager.MemberListener memberListener();

    /** Tells how far the connections have been read; unless overridden, the present time, as if always all was read. */
    ReceptionProgress receptionProgress() {
        return System::nanoTime;
    }

    /** Starts the role; called when the connection manager and the HTTP server have been started. */
    abstract void startServing();

    /** Applies the closed zones of a newer routing state. */
    abstract void closedZonesChanged();

    /** Rejects new work; completes when no accepted work is active any more. */
    abstract CompletableFuture<Void> drain();

    /** Abandons the work that is still active when the time for draining is over. */
    abstract CompletableFuture<Void> abandonRemaining();

    /** Returns whether the process discovers the other members in the store, rather than only registering itself. */
    abstract boolean watchesStore();

    /** Receives the names of the other entries in the store; called only if the process discovers them. */
    abstract void peersDiscovered(Set<MemberName> peers);

    BestEffortSettings settings() {
        return settings;
    }

    BestEffortMetrics metrics() {
        return metrics;
    }

    GrizzlyHttpServer httpServer() {
        return httpServer;
    }

    RoutingStateCache routingState() {
        return routingState;
    }

    SerialExecutor controlExecutor() {
        return controlExecutor;
    }

    SerialExecutor trafficExecutor() {
        return trafficExecutor;
    }

    CompactedLog store() {
        return store;
    }

    ConnectionManager connectionManager() {
        return connectionManager;
    }

    @Override
    public int httpPort() {
        return httpServer.port();
    }

    @Override
    public EventLog events() {
        return events;
    }

    @Override
    public String reload(SettingsReader reader) {
        BestEffortSettings newSettings = BestEffortSettings.read(reader);
        gracePeriod = newSettings.gracePeriod();
        String changed = "grace period is " + gracePeriod.toSeconds() + " s";
        return newSettings.withGracePeriod(settings.gracePeriod()).equals(settings)
                ? changed
                : changed + "; other settings changed and take effect after a restart";
    }

    @Override
    public void shutdown() {
        events.write(Event.SHUTDOWN_STARTED, "requests");
        Duration drainTimeout = Duration.ofMillis((long) (gracePeriod.toMillis() * GRACE_PERIOD_SHARE));
        try {
            try {
                drain().get(drainTimeout.toMillis(), TimeUnit.MILLISECONDS);
            } catch (TimeoutException tooLong) {
                abandonRemaining().get(FLUSH_MILLIS, TimeUnit.MILLISECONDS);
            }
            TimeUnit.MILLISECONDS.sleep(FLUSH_MILLIS);
        } catch (ExecutionException | TimeoutException failure) {
            events.write(Event.INTERNAL_ERROR, "the shutdown", failure);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
        events.write(Event.STOPPED, "only abandoned");
    }

    @Override
    public void abort() {
        connectionManager.stop();
        httpServer.close();
        transport.close();
        executors.forEach(SingleThreadExecutor::close);
    }

    private void startDaemon() {
        DeferredConnectionListener connectionListener = new DeferredConnectionListener();
        int port = transport.listen(settings.self().host(), settings.self().port(), connectionListener);
        Member self = settings.self().withPort(port);
        Incarnation incarnation = Incarnation.random();
        connectionManager = ConnectionManager.create(
                self,
                incarnation,
                controlExecutor,
                TimeSource.system(),
                transport::connect,
                memberListener(),
                events,
                receptionProgress(),
                routingState);
        httpServer.start();
        connectionListener.setDelegate(connectionManager);
        connectionManager.start();
        memberDiscovery = MemberDiscovery.create(
                self, store, controlExecutor, connectionManager, MemberCodec::encode, MemberCodec::decode, events);
        memberDiscovery.registerSelf();
        if (watchesStore()) {
            memberDiscovery.watchMembers(this::peersDiscovered);
        }
        startServing();
        settings.metricsAddress().ifPresent(address -> httpServer.bind(address, this::scrape));
        events.write(Event.STARTED, self.name(), incarnation, self.zone());
    }

    /**
     * Creates a reader of the operator's records that applies what it has read from the store, and tells the other members
     * if it is news.
     */
    final OperatorRecordReader createRecordReader() {
        return OperatorRecordReader.create(
                read -> {
                    if (routingState.update(read, "the store")) {
                        closedZonesChanged();
                        connectionManager.connections().forEach(connection -> connection.send(routingState.current()));
                    }
                },
                events);
    }

    /** Serves the result of a query as JSON at a path of the metrics address. */
    final void addQuery(String path, Supplier<CompletableFuture<?>> query) {
        queries.put(path, query);
    }

    private CompletableFuture<ServerResponse> scrape(ServerRequest request) {
        Supplier<CompletableFuture<?>> query = queries.get(request.path());
        return query == null
                ? CompletableFuture.completedFuture(ServerResponse.text(OK, metrics.scrape()))
                : query.get().thenApply(result -> ServerResponse.json(OK, result));
    }

    /** Creates an executor on a thread of its own, which ends with the daemon. */
    final SerialExecutor createExecutor(String name) {
        SingleThreadExecutor executor = SingleThreadExecutor.create(name, events);
        executors.add(executor);
        return executor;
    }
}
