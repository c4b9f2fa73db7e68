package org.gypsumflow.daemon;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.gypsumflow.command.WorkerSelectionPolicy;
import org.gypsumflow.control.SerialExecutor;
import org.gypsumflow.control.TimeSource;
import org.gypsumflow.http.CommandResource;
import org.gypsumflow.http.GrizzlyHttpServer;
import org.gypsumflow.http.HealthResource;
import org.gypsumflow.http.HttpClient;
import org.gypsumflow.http.HttpPlatformLog;
import org.gypsumflow.http.QueryResource;
import org.gypsumflow.http.TokenAuthenticator;
import org.gypsumflow.log.PlatformLog;
import org.gypsumflow.model.EntryAddress;
import org.gypsumflow.model.EntryName;
import org.gypsumflow.model.Event;
import org.gypsumflow.model.EventLog;
import org.gypsumflow.model.Incarnation;
import org.gypsumflow.traffic.AtMostOnceEntry;
import org.gypsumflow.traffic.EntryDependencies;
import org.gypsumflow.traffic.EntryExecutors;
import org.gypsumflow.wire.NettyTransport;

/** The entry role: HTTP towards callers and operators, Netty towards agents and other entries. */
final class AtMostOnceEntryDaemon implements Daemon {
    private static final int JOB_LANES = 4;
    private static final int HTTP_THREADS = 16;
    private static final int NETTY_THREADS = 2;

    private final AtMostOnceSettings settings;
    private final AtMostOnceTelemetry telemetry;
    private final List<SingleThreadExecutor> lanes = new ArrayList<>();
    private final HttpClient caller = HttpClient.create();
    private final NettyTransport transport;
    private final AtMostOnceEntry node;
    private final GrizzlyHttpServer front;
    private final int httpPort;

    private AtMostOnceEntryDaemon(AtMostOnceSettings settings) {
        this.settings = settings;
        this.telemetry = AtMostOnceTelemetry.create(settings);
        this.transport = NettyTransport.create("netty", NETTY_THREADS, telemetry.events());
        DeferredConnectionListener relay = new DeferredConnectionListener();
        int port = transport.listen(settings.host(), settings.port(), relay);
        EntryAddress self = EntryAddress.of(
                EntryName.of(settings.name()), Incarnation.random(), settings.zone(), settings.host(), port);
        this.node = AtMostOnceEntry.create(self, createLanes(), settings.control(), settings.traffic(), ports());
        relay.setDelegate(node);
        this.front = GrizzlyHttpServer.create(settings.host(), settings.httpPort(), HTTP_THREADS, telemetry.events());
        TokenAuthenticator access = TokenAuthenticator.of(settings.callerTokens(), settings.operatorTokens());
        CommandResource.register(front, node, access);
        QueryResource.register(front, node, access);
        HealthResource.register(front, () -> node.snapshot().ready(), telemetry::scrape);
        registerGauges();
        node.start();
        this.httpPort = front.start();
        telemetry.events().write(Event.STARTED, settings.name(), self.incarnation(), settings.zone());
    }

    static AtMostOnceEntryDaemon start(AtMostOnceSettings settings) {
        return new AtMostOnceEntryDaemon(settings);
    }

    @Override
    public int httpPort() {
        return httpPort;
    }

    @Override
    public EventLog events() {
        return telemetry.events();
    }

    @Override
    public String reload(SettingsReader reader) {
        return AtMostOnceSettings.read(reader).equals(settings)
                ? "nothing differs"
                : "they are correct, but take effect at the next start";
    }

    @Override
    public void shutdown() {
        telemetry.events().write(Event.SHUTDOWN_STARTED, node.openSubmissions());
        try {
            node.drain().get(settings.drainTimeout().toMillis(), TimeUnit.MILLISECONDS);
        } catch (ExecutionException | TimeoutException tooLong) {
            telemetry.events().write(Event.INTERNAL_ERROR, "the drain", tooLong);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
        int cut = node.openSubmissions();
        front.close();
        abort();
        telemetry.events().write(Event.STOPPED, cut);
    }

    @Override
    public void abort() {
        node.stop();
        front.close();
        transport.close();
        lanes.forEach(SingleThreadExecutor::close);
        caller.close();
        telemetry.close();
    }

    private EntryExecutors createLanes() {
        List<SerialExecutor> jobs = new ArrayList<>();
        for (int index = 0; index < JOB_LANES; index++) {
            jobs.add(lane("jobs-" + index));
        }
        return new EntryExecutors(lane("control"), lane("placement"), jobs);
    }

    private SerialExecutor lane(String name) {
        SingleThreadExecutor lane = SingleThreadExecutor.create(name, telemetry.events());
        lanes.add(lane);
        return lane;
    }

    private EntryDependencies ports() {
        PlatformLog log = HttpPlatformLog.create(
                caller, settings.logUrl(), settings.control().logTimeout());
        return new EntryDependencies(
                TimeSource.system(),
                new Random(),
                LogStreams.operations(log),
                LogStreams.members(log),
                stream -> LogStreams.claims(log, stream),
                transport::connect,
                WorkerSelectionPolicy.powerOfTwoChoices(),
                telemetry.events(),
                telemetry.tracing());
    }

    private void registerGauges() {
        telemetry.registerGauge("gypsumflow.jobs.open", node, AtMostOnceEntry::openSubmissions);
        telemetry.registerGauge("gypsumflow.tasks.waiting", node, AtMostOnceEntry::waitingTasks);
        telemetry.registerGauge("gypsumflow.workers.connected", node, each -> each.snapshot()
                .workers()
                .size());
        telemetry.registerGauge("gypsumflow.configuration.version", node, each -> each.snapshot()
                .configurationVersion()
                .value());
        telemetry.registerGauge("gypsumflow.configuration.age.millis", node, each -> each.snapshot()
                .configurationAgeMillis());
    }
}
