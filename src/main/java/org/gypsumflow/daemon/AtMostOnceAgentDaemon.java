package org.gypsumflow.daemon;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.gypsumflow.control.AgentIdentity;
import org.gypsumflow.control.SerialExecutor;
import org.gypsumflow.control.TimeSource;
import org.gypsumflow.http.GrizzlyHttpServer;
import org.gypsumflow.http.HealthResource;
import org.gypsumflow.http.HttpClient;
import org.gypsumflow.http.HttpPlatformLog;
import org.gypsumflow.http.HttpTargetClient;
import org.gypsumflow.http.TargetResource;
import org.gypsumflow.log.PlatformLog;
import org.gypsumflow.model.EntryAddress;
import org.gypsumflow.model.EntryName;
import org.gypsumflow.model.Event;
import org.gypsumflow.model.EventLog;
import org.gypsumflow.model.Incarnation;
import org.gypsumflow.model.ValidationException;
import org.gypsumflow.model.WorkerName;
import org.gypsumflow.traffic.AgentDependencies;
import org.gypsumflow.traffic.AtMostOnceAgent;
import org.gypsumflow.wire.NettyTransport;

/** Agent daemon for claimed jobs: serves entries over Netty and the target on the same host over HTTP. */
final class AtMostOnceAgentDaemon implements Daemon {
    private static final int HTTP_THREADS = 4;
    private static final int NETTY_THREADS = 1;
    /** Time for the last task reports to be sent before the connections are closed. */
    private static final long REPORT_FLUSH_MILLIS = 200;

    private final AtMostOnceSettings settings;
    private final AtMostOnceTelemetry telemetry;
    private final List<SingleThreadExecutor> executors = new ArrayList<>();
    private final HttpClient logHttpClient = HttpClient.create();
    private final HttpClient targetHttpClient;
    private final NettyTransport transport;
    private final AtMostOnceAgent agent;
    private final GrizzlyHttpServer httpServer;
    private final int httpPort;

    private AtMostOnceAgentDaemon(AtMostOnceSettings settings) {
        this.settings = settings;
        this.telemetry = AtMostOnceTelemetry.create(settings);
        this.transport = NettyTransport.create("netty", NETTY_THREADS, telemetry.events());
        this.targetHttpClient = HttpClient.create(settings.maxTargetConnections());
        HttpTargetClient target = HttpTargetClient.create(targetHttpClient, telemetry.tracing());
        AgentIdentity self = new AgentIdentity(WorkerName.of(settings.name()), Incarnation.random(), settings.zone());
        this.agent = AtMostOnceAgent.create(
                self,
                createExecutor("control"),
                createExecutor("traffic"),
                settings.control(),
                settings.agent(),
                settings.traffic().deduplicationWindow(),
                createDependencies(target));
        this.httpServer =
                GrizzlyHttpServer.create(settings.host(), settings.httpPort(), HTTP_THREADS, telemetry.events());
        TargetResource.register(
                httpServer,
                (service, url) -> {
                    if (target.updateUrl(url)) {
                        telemetry.events().write(Event.TARGET_ANNOUNCED, service, url);
                    }
                    agent.control().registerTarget(service);
                },
                this::deregisterTarget);
        HealthResource.register(httpServer, this::isReady, telemetry::scrape);
        telemetry.registerGauge("gypsumflow.tasks.running", agent, AtMostOnceAgent::runningTasks);
        agent.control().start(parseSeeds());
        this.httpPort = httpServer.start();
        telemetry.events().write(Event.STARTED, settings.name(), self.incarnation(), settings.zone());
    }

    static AtMostOnceAgentDaemon start(AtMostOnceSettings settings) {
        return new AtMostOnceAgentDaemon(settings);
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
        telemetry.events().write(Event.SHUTDOWN_STARTED, agent.runningTasks());
        try {
            agent.drain().get(settings.drainTimeout().toMillis(), TimeUnit.MILLISECONDS);
            TimeUnit.MILLISECONDS.sleep(REPORT_FLUSH_MILLIS);
        } catch (ExecutionException | TimeoutException tooLong) {
            telemetry.events().write(Event.INTERNAL_ERROR, "the shutdown", tooLong);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
        int unfinished = agent.runningTasks();
        abort();
        telemetry.events().write(Event.STOPPED, unfinished);
    }

    @Override
    public void abort() {
        agent.control().stop();
        httpServer.close();
        transport.close();
        executors.forEach(SingleThreadExecutor::close);
        logHttpClient.close();
        targetHttpClient.close();
        telemetry.close();
    }

    private boolean isReady() {
        return agent.control().startGuard().service().isPresent()
                && !agent.control().startGuard().draining();
    }

    private void deregisterTarget() {
        agent.control().startGuard().service().ifPresent(service -> telemetry
                .events()
                .write(Event.TARGET_DRAINING, service));
        agent.control().deregisterTarget();
    }

    private SerialExecutor createExecutor(String name) {
        SingleThreadExecutor executor = SingleThreadExecutor.create(name, telemetry.events());
        executors.add(executor);
        return executor;
    }

    private AgentDependencies createDependencies(HttpTargetClient target) {
        PlatformLog log = HttpPlatformLog.create(
                logHttpClient, settings.logUrl(), settings.control().logTimeout());
        return new AgentDependencies(
                TimeSource.system(),
                LogStreams.members(log, telemetry.events()),
                transport::connect,
                target,
                telemetry.events(),
                telemetry.tracing());
    }

    private List<EntryAddress> parseSeeds() {
        List<EntryAddress> seeds = new ArrayList<>();
        for (String seed : settings.seeds()) {
            seeds.add(parseSeed(seed, seeds.size()));
        }
        return seeds;
    }

    private EntryAddress parseSeed(String text, int index) {
        int colon = text.lastIndexOf(':');
        try {
            return EntryAddress.of(
                    EntryName.of("seed-" + index),
                    Incarnation.of("seed-" + index),
                    settings.zone(),
                    text.substring(0, colon),
                    Integer.parseInt(text.substring(colon + 1)));
        } catch (IndexOutOfBoundsException | NumberFormatException malformed) {
            throw ValidationException.of("seeds", "\"" + text + "\" must look like \"10.0.0.1:7101\"");
        }
    }
}
