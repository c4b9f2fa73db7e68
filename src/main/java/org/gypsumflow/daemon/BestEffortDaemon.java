package org.gypsumflow.daemon;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.gypsumflow.control.ConnectionManager;
import org.gypsumflow.control.MemberDiscovery;
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
import org.gypsumflow.platform.HttpCompactedLog;
import org.gypsumflow.wire.MemberCodec;
import org.gypsumflow.wire.NettyTransport;

/** What both roles on the users' platform have in common: lanes, connections, the store, start and stop. */
abstract class BestEffortDaemon implements Daemon {
    private static final int OK = 200;
    /** Share of the grace time after which a leaving process ends; the rest is left for its own end. */
    private static final double GRACE_SHARE = 0.88;
    /** Connections to the store: one for each followed topic and one for writes, with one to spare. */
    private static final int STORE_CONNECTIONS = 4;
    /** Time for the last answers to reach their readers before the process ends. */
    private static final long FLUSH_MILLIS = 100;

    private final BestEffortSettings settings;
    private volatile Duration grace;
    private final BestEffortMetrics metrics = BestEffortMetrics.create();
    private final EventLog events = metrics.countingEventLog(new TinylogEventLog());
    private final List<SingleThreadExecutor> lanes = new ArrayList<>();
    private final NettyTransport transport;
    private final GrizzlyHttpServer front;
    private final RoutingStateCache state;
    private final SerialExecutor control;
    private final SerialExecutor traffic;
    private final CompactedLog store;
    private ConnectionManager links;
    private MemberDiscovery directory;

    BestEffortDaemon(BestEffortSettings settings, InetSocketAddress served) {
        this.settings = settings;
        this.grace = settings.gracePeriod();
        this.transport = NettyTransport.create("netty", 1, events);
        this.control = lane("control");
        this.traffic = lane("traffic");
        this.state = RoutingStateCache.create(events);
        this.front = GrizzlyHttpServer.create(served.getAddress().getHostAddress(), served.getPort(), 1, events);
        this.store = HttpCompactedLog.create(
                HttpClient.createOnTransportOf(front, STORE_CONNECTIONS), settings.storeAddress());
    }

    static Daemon start(BestEffortSettings settings) {
        BestEffortDaemon daemon = settings.self().role() == Member.Role.ENTRY
                ? new BestEffortEntryDaemon(settings)
                : new BestEffortAgentDaemon(settings);
        daemon.begin();
        return daemon;
    }

    /** Returns what hears of connections and messages. */
    abstract ConnectionManager.MemberListener memberListener();

    /** Serves, once the connections are there. */
    abstract void startServing();

    /** Takes no new work and completes when nothing is under way any more. */
    abstract CompletableFuture<Void> drain();

    /** Gives up what is still under way, since the time for leaving is over. */
    abstract CompletableFuture<Void> abandonRemaining();

    /** Tells whether the process must hear of all members and of the operator, or only make itself known. */
    abstract boolean watchesStore();

    BestEffortSettings settings() {
        return settings;
    }

    BestEffortMetrics metrics() {
        return metrics;
    }

    GrizzlyHttpServer httpServer() {
        return front;
    }

    RoutingStateCache routingState() {
        return state;
    }

    SerialExecutor controlExecutor() {
        return control;
    }

    SerialExecutor trafficExecutor() {
        return traffic;
    }

    CompactedLog store() {
        return store;
    }

    ConnectionManager connectionManager() {
        return links;
    }

    @Override
    public int httpPort() {
        return front.port();
    }

    @Override
    public EventLog events() {
        return events;
    }

    @Override
    public String reload(SettingsReader reader) {
        BestEffortSettings fresh = BestEffortSettings.read(reader);
        grace = fresh.gracePeriod();
        String changed = "the time to leave is " + grace.toSeconds() + " s";
        return fresh.withGracePeriod(settings.gracePeriod()).equals(settings)
                ? changed
                : changed + "; other values differ and take effect at the next start";
    }

    @Override
    public void shutdown() {
        events.write(Event.SHUTDOWN_STARTED, "requests");
        Duration limit = Duration.ofMillis((long) (grace.toMillis() * GRACE_SHARE));
        try {
            try {
                drain().get(limit.toMillis(), TimeUnit.MILLISECONDS);
            } catch (TimeoutException tooLong) {
                abandonRemaining().get(FLUSH_MILLIS, TimeUnit.MILLISECONDS);
            }
            TimeUnit.MILLISECONDS.sleep(FLUSH_MILLIS);
        } catch (ExecutionException | TimeoutException failure) {
            events.write(Event.INTERNAL_ERROR, "the drain", failure);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
        events.write(Event.STOPPED, "no more");
    }

    @Override
    public void abort() {
        links.stop();
        front.close();
        transport.close();
        lanes.forEach(SingleThreadExecutor::close);
    }

    private void begin() {
        DeferredConnectionListener relay = new DeferredConnectionListener();
        int port = transport.listen(settings.self().host(), settings.self().port(), relay);
        Member self = settings.self().withPort(port);
        Incarnation incarnation = Incarnation.random();
        links = ConnectionManager.create(
                self, incarnation, control, TimeSource.system(), transport::connect, memberListener(), events);
        front.start();
        relay.setDelegate(links);
        links.start();
        directory =
                MemberDiscovery.create(self, store, control, links, MemberCodec::encode, MemberCodec::decode, events);
        directory.registerSelf();
        if (watchesStore()) {
            directory.watchMembers();
        }
        startServing();
        settings.metricsAddress().ifPresent(address -> front.bind(address, this::scrape));
        events.write(Event.STARTED, self.name(), incarnation, self.zone());
    }

    private CompletableFuture<ServerResponse> scrape(ServerRequest call) {
        return CompletableFuture.completedFuture(ServerResponse.text(OK, metrics.scrape()));
    }

    private SerialExecutor lane(String name) {
        SingleThreadExecutor lane = SingleThreadExecutor.create(name, events);
        lanes.add(lane);
        return lane;
    }
}
