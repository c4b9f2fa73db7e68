package org.gypsumflow.daemon;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.gypsumflow.control.Lane;
import org.gypsumflow.control.MemberDirectory;
import org.gypsumflow.control.NodeLinks;
import org.gypsumflow.control.SharedState;
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
import org.gypsumflow.platform.HttpKeyedLog;
import org.gypsumflow.wire.MemberRecords;
import org.gypsumflow.wire.NettyTransport;

/** What both roles on the users' platform have in common: lanes, connections, the store, start and stop. */
abstract class DispatchDaemon implements Daemon {
    private static final int OK = 200;
    /** Share of the grace time after which a leaving process ends; the rest is left for its own end. */
    private static final double GRACE_SHARE = 0.88;
    /** Connections to the store: one for each followed topic and one for writes, with one to spare. */
    private static final int STORE_CONNECTIONS = 4;
    /** Time for the last answers to reach their readers before the process ends. */
    private static final long FLUSH_MILLIS = 100;

    private final DispatchSettings settings;
    private volatile Duration grace;
    private final DispatchMetrics metrics = DispatchMetrics.create();
    private final EventLog events = metrics.counting(new TinyEventLog());
    private final List<ThreadLane> lanes = new ArrayList<>();
    private final NettyTransport transport;
    private final GrizzlyHttpServer front;
    private final SharedState state;
    private final Lane control;
    private final Lane traffic;
    private final CompactedLog store;
    private NodeLinks links;
    private MemberDirectory directory;

    DispatchDaemon(DispatchSettings settings, InetSocketAddress served) {
        this.settings = settings;
        this.grace = settings.grace();
        this.transport = NettyTransport.create("netty", 1, events);
        this.control = lane("control");
        this.traffic = lane("traffic");
        this.state = SharedState.create(events);
        this.front = GrizzlyHttpServer.create(served.getAddress().getHostAddress(), served.getPort(), 1, events);
        this.store = HttpKeyedLog.create(HttpClient.createOnTransportOf(front, STORE_CONNECTIONS), settings.store());
    }

    static Daemon start(DispatchSettings settings) {
        DispatchDaemon daemon = settings.self().role() == Member.Role.ENTRY
                ? new DispatchEntryDaemon(settings)
                : new DispatchAgentDaemon(settings);
        daemon.begin();
        return daemon;
    }

    /** Returns what hears of connections and messages. */
    abstract NodeLinks.Listener listener();

    /** Serves, once the connections are there. */
    abstract void serve();

    /** Takes no new work and completes when nothing is under way any more. */
    abstract CompletableFuture<Void> drain();

    /** Gives up what is still under way, since the time for leaving is over. */
    abstract CompletableFuture<Void> giveUp();

    /** Tells whether the process must hear of all members and of the operator, or only make itself known. */
    abstract boolean followsStore();

    DispatchSettings settings() {
        return settings;
    }

    DispatchMetrics metrics() {
        return metrics;
    }

    GrizzlyHttpServer front() {
        return front;
    }

    SharedState state() {
        return state;
    }

    Lane control() {
        return control;
    }

    Lane traffic() {
        return traffic;
    }

    CompactedLog store() {
        return store;
    }

    NodeLinks links() {
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
        DispatchSettings fresh = DispatchSettings.read(reader);
        grace = fresh.grace();
        String changed = "the time to leave is " + grace.toSeconds() + " s";
        return fresh.withGrace(settings.grace()).equals(settings)
                ? changed
                : changed + "; other values differ and take effect at the next start";
    }

    @Override
    public void leave() {
        events.write(Event.SHUTDOWN_STARTED, "requests");
        Duration limit = Duration.ofMillis((long) (grace.toMillis() * GRACE_SHARE));
        try {
            try {
                drain().get(limit.toMillis(), TimeUnit.MILLISECONDS);
            } catch (TimeoutException tooLong) {
                giveUp().get(FLUSH_MILLIS, TimeUnit.MILLISECONDS);
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
        lanes.forEach(ThreadLane::close);
    }

    private void begin() {
        Relay relay = new Relay();
        int port = transport.listen(settings.self().host(), settings.self().port(), relay);
        Member self = settings.self().withPort(port);
        Incarnation incarnation = Incarnation.random();
        links = NodeLinks.create(self, incarnation, control, TimeSource.system(), transport::dial, listener(), events);
        front.start();
        relay.to(links);
        links.start();
        directory = MemberDirectory.create(
                self, store, control, links, MemberRecords::encode, MemberRecords::decode, events);
        directory.publish();
        if (followsStore()) {
            directory.follow();
        }
        serve();
        settings.metrics().ifPresent(address -> front.bind(address, this::scrape));
        events.write(Event.STARTED, self.name(), incarnation, self.zone());
    }

    private CompletableFuture<ServerResponse> scrape(ServerRequest call) {
        return CompletableFuture.completedFuture(ServerResponse.text(OK, metrics.scrape()));
    }

    private Lane lane(String name) {
        ThreadLane lane = ThreadLane.create(name, events);
        lanes.add(lane);
        return lane;
    }
}
