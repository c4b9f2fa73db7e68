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

/** Entry daemon for claimed jobs: serves callers and operators over HTTP, agents and other entries over Netty. */
final class AtMostOnceEntryDaemon implements Daemon {
    private static final int SUBMISSION_EXECUTORS = 4;
    private static final int HTTP_THREADS = 16;
    private static final int NETTY_THREADS = 2;

    private final AtMostOnceSettings settings;
    private final AtMostOnceTelemetry telemetry;
    private final List<SingleThreadExecutor> executors = new ArrayList<>();
    private final HttpClient httpClient = HttpClient.create();
    private final NettyTransport transport;
    private final AtMostOnceEntry entry;
    private final GrizzlyHttpServer httpServer;
    private final int httpPort;

    private AtMostOnceEntryDaemon(AtMostOnceSettings settings) {
        this.settings = settings;
        this.telemetry = AtMostOnceTelemetry.create(settings);
        this.transport = NettyTransport.create("netty", NETTY_THREADS, telemetry.events());
        DeferredConnectionListener connectionListener = new DeferredConnectionListener();
        int port = transport.listen(settings.host(), settings.port(), connectionListener);
        EntryAddress self = EntryAddress.of(
                EntryName.of(settings.name()), Incarnation.random(), settings.zone(), settings.host(), port);
        this.entry = AtMostOnceEntry.create(
                self, createEntryExecutors(), settings.control(), settings.traffic(), createDependencies());
        connectionListener.setDelegate(entry);
        this.httpServer =
                GrizzlyHttpServer.create(settings.host(), settings.httpPort(), HTTP_THREADS, telemetry.events());
        TokenAuthenticator authenticator = TokenAuthenticator.of(settings.callerTokens(), settings.operatorTokens());
        CommandResource.register(httpServer, entry, authenticator);
        QueryResource.register(httpServer, entry, authenticator);
        HealthResource.register(httpServer, () -> entry.snapshot().ready(), telemetry::scrape);
        registerGauges();
        entry.start();
        this.httpPort = httpServer.start();
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
                ? "nothing changed"
                : "valid, but changes take effect after a restart";
    }

    @Override
    public void shutdown() {
        telemetry.events().write(Event.SHUTDOWN_STARTED, entry.openSubmissions());
        try {
            entry.drain().get(settings.drainTimeout().toMillis(), TimeUnit.MILLISECONDS);
        } catch (ExecutionException | TimeoutException tooLong) {
            telemetry.events().write(Event.INTERNAL_ERROR, "the shutdown", tooLong);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
        int unfinished = entry.openSubmissions();
        httpServer.close();
        abort();
        telemetry.events().write(Event.STOPPED, unfinished);
    }

    @Override
    public void abort() {
        entry.stop();
        httpServer.close();
        transport.close();
        executors.forEach(SingleThreadExecutor::close);
        httpClient.close();
        telemetry.close();
    }

    private EntryExecutors createEntryExecutors() {
        List<SerialExecutor> submissions = new ArrayList<>();
        for (int index = 0; index < SUBMISSION_EXECUTORS; index++) {
            submissions.add(createExecutor("jobs-" + index));
        }
        return new EntryExecutors(createExecutor("control"), createExecutor("placement"), submissions);
    }

    private SerialExecutor createExecutor(String name) {
        SingleThreadExecutor executor = SingleThreadExecutor.create(name, telemetry.events());
        executors.add(executor);
        return executor;
    }

    private EntryDependencies createDependencies() {
        PlatformLog log = HttpPlatformLog.create(
                httpClient, settings.logUrl(), settings.control().logTimeout());
        return new EntryDependencies(
                TimeSource.system(),
                new Random(),
                LogStreams.operations(log, telemetry.events()),
                LogStreams.members(log, telemetry.events()),
                stream -> LogStreams.claims(log, stream, telemetry.events()),
                transport::connect,
                WorkerSelectionPolicy.powerOfTwoChoices(),
                telemetry.events(),
                telemetry.tracing());
    }

    private void registerGauges() {
        telemetry.registerGauge("gypsumflow.jobs.open", entry, AtMostOnceEntry::openSubmissions);
        telemetry.registerGauge("gypsumflow.tasks.waiting", entry, AtMostOnceEntry::waitingTasks);
        telemetry.registerGauge("gypsumflow.workers.connected", entry, node -> node.snapshot()
                .workers()
                .size());
        telemetry.registerGauge("gypsumflow.configuration.version", entry, node -> node.snapshot()
                .configurationVersion()
                .value());
        telemetry.registerGauge("gypsumflow.configuration.age.millis", entry, node -> node.snapshot()
                .configurationAgeMillis());
    }
}
