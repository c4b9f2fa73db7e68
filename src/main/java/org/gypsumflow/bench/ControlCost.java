package org.gypsumflow.bench;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.gypsumflow.command.WorkerSelectionPolicy;
import org.gypsumflow.control.AgentIdentity;
import org.gypsumflow.control.AgentSettings;
import org.gypsumflow.control.Connection;
import org.gypsumflow.control.ConnectionListener;
import org.gypsumflow.control.ControlSettings;
import org.gypsumflow.control.TimeSource;
import org.gypsumflow.daemon.LogStreams;
import org.gypsumflow.daemon.SingleThreadExecutor;
import org.gypsumflow.http.HttpClient;
import org.gypsumflow.http.HttpPlatformLog;
import org.gypsumflow.log.PlatformLog;
import org.gypsumflow.model.AvailabilityZone;
import org.gypsumflow.model.EntryAddress;
import org.gypsumflow.model.EntryName;
import org.gypsumflow.model.EventLog;
import org.gypsumflow.model.Incarnation;
import org.gypsumflow.model.Message;
import org.gypsumflow.model.ServiceName;
import org.gypsumflow.model.Tracing;
import org.gypsumflow.model.WorkerName;
import org.gypsumflow.standin.LogStandIn;
import org.gypsumflow.traffic.AgentDependencies;
import org.gypsumflow.traffic.AtMostOnceAgent;
import org.gypsumflow.traffic.AtMostOnceEntry;
import org.gypsumflow.traffic.EntryDependencies;
import org.gypsumflow.traffic.EntryExecutors;
import org.gypsumflow.traffic.TrafficSettings;
import org.gypsumflow.wire.MessageCodec;
import org.gypsumflow.wire.NettyTransport;

/**
 * Benchmark of the control traffic between an entry and its agents while no task runs: CPU time, bytes and heap.
 *
 * <p>One entry and a number of agents run in this process, with real connections over the loopback address. CPU time is
 * attributed to a side by the names of its threads, which begin with {@code entry-} or {@code agents-}.
 */
public final class ControlCost {
    private static final int FRAME_HEADER_BYTES = 4;
    private static final int AGENT_EXECUTORS = 4;
    private static final int NETTY_THREADS = 2;
    private static final int SLOTS = 8;
    private static final int MAX_ENTRIES = 8;
    private static final double NANOS_PER_SECOND = 1e9;
    private static final int BYTES_PER_KILOBYTE = 1000;
    private static final Duration WARM_UP_TIME = Duration.ofSeconds(8);
    private static final Duration MEASUREMENT_TIME = Duration.ofSeconds(20);

    private final List<AutoCloseable> resources = new ArrayList<>();
    private final AtomicLong bytesToAgents = new AtomicLong();
    private final AtomicLong bytesToEntry = new AtomicLong();
    private final TimeSource time = TimeSource.system();
    private final LogStandIn logService = LogStandIn.start(0, Duration.ofMillis(4), Duration.ofHours(1));
    private final HttpClient httpClient = HttpClient.create();
    private final PlatformLog platformLog = HttpPlatformLog.create(httpClient, logService.url(), Duration.ofSeconds(2));

    private ControlCost() {}

    /**
     * Runs the benchmark once for each number of agents and prints a table.
     *
     * @param arguments the numbers of agents
     */
    public static void main(String[] arguments) {
        System.out.println("agents  entry core %  entry kB/s  agent core %  agent kB/s  heap kB per agent");
        for (String agents : arguments) {
            new ControlCost().measure(Integer.parseInt(agents));
        }
        System.exit(0);
    }

    private void measure(int agents) {
        sleep(Duration.ofSeconds(1));
        long heapBefore = heapBytes();
        AtMostOnceEntry entry = startEntry();
        List<SingleThreadExecutor> executors = new ArrayList<>();
        for (int index = 0; index < AGENT_EXECUTORS; index++) {
            executors.add(registerForClose(SingleThreadExecutor.create("agents-executor-" + index, EventLog.none())));
        }
        NettyTransport transport =
                registerForClose(NettyTransport.create("agents-netty", NETTY_THREADS, EventLog.none()));
        List<AtMostOnceAgent> nodes = new ArrayList<>();
        for (int index = 0; index < agents; index++) {
            nodes.add(startAgent(index, executors.get(index % AGENT_EXECUTORS), transport));
        }
        sleep(WARM_UP_TIME);
        long connectedAgents = entry.snapshot().workers().size();
        bytesToAgents.set(0);
        bytesToEntry.set(0);
        long entryBefore = cpuNanos("entry-");
        long agentsBefore = cpuNanos("agents-");
        long startNanos = System.nanoTime();
        sleep(MEASUREMENT_TIME);
        double seconds = (System.nanoTime() - startNanos) / NANOS_PER_SECOND;
        double entryCore = (cpuNanos("entry-") - entryBefore) / NANOS_PER_SECOND / seconds;
        double agentsCore = (cpuNanos("agents-") - agentsBefore) / NANOS_PER_SECOND / seconds;
        double kilobytes = (double) (bytesToAgents.get() + bytesToEntry.get()) / BYTES_PER_KILOBYTE / seconds;
        long heap = heapBytes() - heapBefore;
        System.out.printf(
                "%6d  %12.2f  %10.2f  %12.4f  %10.3f  %17.1f%n",
                connectedAgents,
                entryCore * 100,
                kilobytes,
                agentsCore * 100 / agents,
                kilobytes / agents,
                (double) heap / BYTES_PER_KILOBYTE / agents);
        nodes.forEach(node -> node.control().stop());
        entry.stop();
        close();
    }

    private AtMostOnceEntry startEntry() {
        NettyTransport transport =
                registerForClose(NettyTransport.create("entry-netty", NETTY_THREADS, EventLog.none()));
        DeferredEntryListener deferredListener = new DeferredEntryListener();
        int port = transport.listen("127.0.0.1", 0, deferredListener);
        EntryAddress self = EntryAddress.of(
                EntryName.of("entry"), Incarnation.random(), AvailabilityZone.of("plovdiv"), "127.0.0.1", port);
        EntryExecutors executors = new EntryExecutors(
                registerForClose(SingleThreadExecutor.create("entry-control", EventLog.none())),
                registerForClose(SingleThreadExecutor.create("entry-placement", EventLog.none())),
                List.of(registerForClose(SingleThreadExecutor.create("entry-jobs", EventLog.none()))));
        EntryDependencies dependencies = new EntryDependencies(
                time,
                new Random(),
                LogStreams.operations(platformLog, EventLog.none()),
                LogStreams.members(platformLog, EventLog.none()),
                stream -> LogStreams.claims(platformLog, stream, EventLog.none()),
                transport::connect,
                WorkerSelectionPolicy.powerOfTwoChoices(),
                EventLog.none(),
                Tracing.none());
        AtMostOnceEntry node = AtMostOnceEntry.create(
                self, executors, ControlSettings.defaults(), TrafficSettings.defaults(), dependencies);
        deferredListener.node = node;
        node.start();
        return node;
    }

    private AtMostOnceAgent startAgent(int index, SingleThreadExecutor executor, NettyTransport transport) {
        AgentDependencies dependencies = new AgentDependencies(
                time,
                LogStreams.members(platformLog, EventLog.none()),
                (address, listener) -> transport
                        .connect(address, new CountingListener(listener))
                        .thenApply(this::countingConnection),
                (task, payload, timeout, trace) -> new CompletableFuture<>(),
                EventLog.none(),
                Tracing.none());
        AtMostOnceAgent node = AtMostOnceAgent.create(
                new AgentIdentity(
                        WorkerName.of("worker-" + index), Incarnation.random(), AvailabilityZone.of("plovdiv")),
                executor,
                executor,
                ControlSettings.defaults(),
                new AgentSettings(SLOTS, MAX_ENTRIES),
                TrafficSettings.defaults().deduplicationWindow(),
                dependencies);
        node.control().start(List.of());
        node.control().registerTarget(ServiceName.of("bookings"));
        return node;
    }

    private <T extends AutoCloseable> T registerForClose(T resource) {
        resources.add(resource);
        return resource;
    }

    private void close() {
        resources.add(httpClient);
        resources.add(logService);
        for (AutoCloseable resource : resources) {
            try {
                resource.close();
            } catch (Exception failure) {
                System.err.println("could not close " + resource + ": " + failure);
            }
        }
    }

    private static long cpuNanos(String prefix) {
        ThreadMXBean threads = ManagementFactory.getThreadMXBean();
        long total = 0;
        for (long id : threads.getAllThreadIds()) {
            if (threads.getThreadInfo(id) != null
                    && threads.getThreadInfo(id).getThreadName().startsWith(prefix)) {
                total += Math.max(0, threads.getThreadCpuTime(id));
            }
        }
        return total;
    }

    private static long heapBytes() {
        System.gc();
        return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
    }

    private static void sleep(Duration duration) {
        CompletableFuture.runAsync(
                        () -> {}, CompletableFuture.delayedExecutor(duration.toMillis(), TimeUnit.MILLISECONDS))
                .join();
    }

    private static int sizeInBytes(Message message) {
        return FRAME_HEADER_BYTES + MessageCodec.encode(message).getSerializedSize();
    }

    private Connection countingConnection(Connection connection) {
        return new CountingConnection(connection);
    }

    /** Forwards to the entry, which can be created only after the transport has bound its port. */
    private static final class DeferredEntryListener implements ConnectionListener {
        private volatile AtMostOnceEntry node;

        @Override
        public void messageReceived(Connection connection, Message message) {
            node.messageReceived(connection, message);
        }

        @Override
        public void connectionClosed(Connection connection) {
            node.connectionClosed(connection);
        }
    }

    /** Counts the bytes that an agent sends; equal to another one if both wrap equal connections. */
    private final class CountingConnection implements Connection {
        private final Connection connection;

        private CountingConnection(Connection connection) {
            this.connection = connection;
        }

        @Override
        public void send(Message message) {
            bytesToEntry.addAndGet(sizeInBytes(message));
            connection.send(message);
        }

        @Override
        public void close() {
            connection.close();
        }

        @Override
        public boolean equals(Object other) {
            return other instanceof CountingConnection counting && counting.connection.equals(connection);
        }

        @Override
        public int hashCode() {
            return connection.hashCode();
        }
    }

    /** Counts the bytes that an agent receives. */
    private final class CountingListener implements ConnectionListener {
        private final ConnectionListener listener;

        private CountingListener(ConnectionListener listener) {
            this.listener = listener;
        }

        @Override
        public void messageReceived(Connection connection, Message message) {
            bytesToAgents.addAndGet(sizeInBytes(message));
            listener.messageReceived(new CountingConnection(connection), message);
        }

        @Override
        public void connectionClosed(Connection connection) {
            listener.connectionClosed(new CountingConnection(connection));
        }
    }
}
