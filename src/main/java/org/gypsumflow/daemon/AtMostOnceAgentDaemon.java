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

/** The agent role: Netty towards entries, HTTP towards the target beside it. */
final class AtMostOnceAgentDaemon implements Daemon {
    private static final int HTTP_THREADS = 4;
    private static final int NETTY_THREADS = 1;
    private static final long REPORT_FLUSH_MILLIS = 200;

    private final AtMostOnceSettings settings;
    private final AtMostOnceTelemetry telemetry;
    private final List<SingleThreadExecutor> lanes = new ArrayList<>();
    private final HttpClient logCaller = HttpClient.create();
    private final HttpClient targetCaller;
    private final NettyTransport transport;
    private final AtMostOnceAgent node;
    private final GrizzlyHttpServer front;
    private final int httpPort;

    private AtMostOnceAgentDaemon(AtMostOnceSettings settings) {
        this.settings = settings;
        this.telemetry = AtMostOnceTelemetry.create(settings);
        this.transport = NettyTransport.create("netty", NETTY_THREADS, telemetry.events());
        this.targetCaller = HttpClient.create(settings.maxTargetConnections());
        HttpTargetClient target = HttpTargetClient.create(targetCaller, telemetry.tracing());
        AgentIdentity self = new AgentIdentity(WorkerName.of(settings.name()), Incarnation.random(), settings.zone());
        this.node = AtMostOnceAgent.create(
                self,
                lane("control"),
                lane("traffic"),
                settings.control(),
                settings.agent(),
                settings.traffic().deduplicationWindow(),
                ports(target));
        this.front = GrizzlyHttpServer.create(settings.host(), settings.httpPort(), HTTP_THREADS, telemetry.events());
        TargetResource.register(
                front,
                (service, url) -> {
                    if (target.updateUrl(url)) {
                        telemetry.events().write(Event.TARGET_ANNOUNCED, service, url);
                    }
                    node.control().registerTarget(service);
                },
                this::targetLeaving);
        HealthResource.register(front, this::isReady, telemetry::scrape);
        telemetry.registerGauge("gypsumflow.tasks.running", node, AtMostOnceAgent::runningTasks);
        node.control().start(seeds());
        this.httpPort = front.start();
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
                ? "nothing differs"
                : "they are correct, but take effect at the next start";
    }

    @Override
    public void shutdown() {
        telemetry.events().write(Event.SHUTDOWN_STARTED, node.runningTasks());
        try {
            node.drain().get(settings.drainTimeout().toMillis(), TimeUnit.MILLISECONDS);
            TimeUnit.MILLISECONDS.sleep(REPORT_FLUSH_MILLIS);
        } catch (ExecutionException | TimeoutException tooLong) {
            telemetry.events().write(Event.INTERNAL_ERROR, "the drain", tooLong);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
        int cut = node.runningTasks();
        abort();
        telemetry.events().write(Event.STOPPED, cut);
    }

    @Override
    public void abort() {
        node.control().stop();
        front.close();
        transport.close();
        lanes.forEach(SingleThreadExecutor::close);
        logCaller.close();
        targetCaller.close();
        telemetry.close();
    }

    private boolean isReady() {
        return node.control().startGuard().service().isPresent()
                && !node.control().startGuard().draining();
    }

    private void targetLeaving() {
        node.control().startGuard().service().ifPresent(service -> telemetry
                .events()
                .write(Event.TARGET_DRAINING, service));
        node.control().deregisterTarget();
    }

    private SerialExecutor lane(String name) {
        SingleThreadExecutor lane = SingleThreadExecutor.create(name, telemetry.events());
        lanes.add(lane);
        return lane;
    }

    private AgentDependencies ports(HttpTargetClient target) {
        PlatformLog log = HttpPlatformLog.create(
                logCaller, settings.logUrl(), settings.control().logTimeout());
        return new AgentDependencies(
                TimeSource.system(),
                LogStreams.members(log),
                transport::connect,
                target,
                telemetry.events(),
                telemetry.tracing());
    }

    private List<EntryAddress> seeds() {
        List<EntryAddress> seeds = new ArrayList<>();
        for (String seed : settings.seeds()) {
            seeds.add(seed(seed, seeds.size()));
        }
        return seeds;
    }

    private EntryAddress seed(String text, int index) {
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
