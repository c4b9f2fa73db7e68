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
 * Measures what control costs an entry and its agents while nothing runs: processor time, bytes and memory.
 *
 * <p>One entry and a number of agents share this process, with real connections over loopback; the threads of each
 * side are told apart by name.
 */
public final class ControlCost {
    private static final int FRAME_HEADER_BYTES = 4;
    private static final int AGENT_LANES = 4;
    private static final int NETTY_THREADS = 2;
    private static final int SLOTS = 8;
    private static final int MOST_ENTRIES = 8;
    private static final double NANOS_PER_SECOND = 1e9;
    private static final int BYTES_PER_KILOBYTE = 1000;
    private static final Duration SETTLE = Duration.ofSeconds(8);
    private static final Duration MEASURE = Duration.ofSeconds(20);

    private final List<AutoCloseable> open = new ArrayList<>();
    private final AtomicLong bytesToAgents = new AtomicLong();
    private final AtomicLong bytesToEntry = new AtomicLong();
    private final TimeSource time = TimeSource.system();
    private final LogStandIn log = LogStandIn.start(0, Duration.ofMillis(4), Duration.ofHours(1));
    private final HttpClient caller = HttpClient.create();
    private final PlatformLog platformLog = HttpPlatformLog.create(caller, log.url(), Duration.ofSeconds(2));

    private ControlCost() {}

    /**
     * Measures for each number of agents and prints a table.
     *
     * @param arguments numbers of agents
     */
    public static void main(String[] arguments) {
        System.out.println("agents  entry core %  entry kB/s  agent core %  agent kB/s  heap kB per agent");
        for (String agents : arguments) {
            new ControlCost().measure(Integer.parseInt(agents));
        }
        System.exit(0);
    }

    private void measure(int agents) {
        pause(Duration.ofSeconds(1));
        long heapBefore = heapBytes();
        AtMostOnceEntry entry = startEntry();
        List<SingleThreadExecutor> lanes = new ArrayList<>();
        for (int index = 0; index < AGENT_LANES; index++) {
            lanes.add(keep(SingleThreadExecutor.create("agents-lane-" + index, EventLog.none())));
        }
        NettyTransport transport = keep(NettyTransport.create("agents-netty", NETTY_THREADS, EventLog.none()));
        List<AtMostOnceAgent> nodes = new ArrayList<>();
        for (int index = 0; index < agents; index++) {
            nodes.add(startAgent(index, lanes.get(index % AGENT_LANES), transport));
        }
        pause(SETTLE);
        long connected = entry.snapshot().workers().size();
        bytesToAgents.set(0);
        bytesToEntry.set(0);
        long entryBefore = cpuNanos("entry-");
        long agentsBefore = cpuNanos("agents-");
        long begin = System.nanoTime();
        pause(MEASURE);
        double seconds = (System.nanoTime() - begin) / NANOS_PER_SECOND;
        double entryCore = (cpuNanos("entry-") - entryBefore) / NANOS_PER_SECOND / seconds;
        double agentsCore = (cpuNanos("agents-") - agentsBefore) / NANOS_PER_SECOND / seconds;
        double kilobytes = (double) (bytesToAgents.get() + bytesToEntry.get()) / BYTES_PER_KILOBYTE / seconds;
        long heap = heapBytes() - heapBefore;
        System.out.printf(
                "%6d  %12.2f  %10.2f  %12.4f  %10.3f  %17.1f%n",
                connected,
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
        NettyTransport transport = keep(NettyTransport.create("entry-netty", NETTY_THREADS, EventLog.none()));
        Late late = new Late();
        int port = transport.listen("127.0.0.1", 0, late);
        EntryAddress self = EntryAddress.of(
                EntryName.of("entry"), Incarnation.random(), AvailabilityZone.of("plovdiv"), "127.0.0.1", port);
        EntryExecutors lanes = new EntryExecutors(
                keep(SingleThreadExecutor.create("entry-control", EventLog.none())),
                keep(SingleThreadExecutor.create("entry-placement", EventLog.none())),
                List.of(keep(SingleThreadExecutor.create("entry-jobs", EventLog.none()))));
        EntryDependencies ports = new EntryDependencies(
                time,
                new Random(),
                LogStreams.operations(platformLog),
                LogStreams.members(platformLog),
                stream -> LogStreams.claims(platformLog, stream),
                transport::connect,
                WorkerSelectionPolicy.powerOfTwoChoices(),
                EventLog.none(),
                Tracing.none());
        AtMostOnceEntry node =
                AtMostOnceEntry.create(self, lanes, ControlSettings.defaults(), TrafficSettings.defaults(), ports);
        late.node = node;
        node.start();
        return node;
    }

    private AtMostOnceAgent startAgent(int index, SingleThreadExecutor lane, NettyTransport transport) {
        AgentDependencies ports = new AgentDependencies(
                time,
                LogStreams.members(platformLog),
                (address, listener) ->
                        transport.connect(address, new Counting(listener)).thenApply(this::counted),
                (task, payload, timeout, trace) -> new CompletableFuture<>(),
                EventLog.none(),
                Tracing.none());
        AtMostOnceAgent node = AtMostOnceAgent.create(
                new AgentIdentity(
                        WorkerName.of("worker-" + index), Incarnation.random(), AvailabilityZone.of("plovdiv")),
                lane,
                lane,
                ControlSettings.defaults(),
                new AgentSettings(SLOTS, MOST_ENTRIES),
                TrafficSettings.defaults().deduplicationWindow(),
                ports);
        node.control().start(List.of());
        node.control().registerTarget(ServiceName.of("bookings"));
        return node;
    }

    private <T extends AutoCloseable> T keep(T resource) {
        open.add(resource);
        return resource;
    }

    private void close() {
        open.add(caller);
        open.add(log);
        for (AutoCloseable each : open) {
            try {
                each.close();
            } catch (Exception failure) {
                System.err.println("could not close " + each + ": " + failure);
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

    private static void pause(Duration span) {
        CompletableFuture.runAsync(() -> {}, CompletableFuture.delayedExecutor(span.toMillis(), TimeUnit.MILLISECONDS))
                .join();
    }

    private static int size(Message message) {
        return FRAME_HEADER_BYTES + MessageCodec.encode(message).getSerializedSize();
    }

    private Connection counted(Connection link) {
        return new CountingLink(link);
    }

    /** Hands messages on once the entry exists. */
    private static final class Late implements ConnectionListener {
        private volatile AtMostOnceEntry node;

        @Override
        public void messageReceived(Connection link, Message message) {
            node.messageReceived(link, message);
        }

        @Override
        public void connectionClosed(Connection link) {
            node.connectionClosed(link);
        }
    }

    /** Counts the bytes that an agent sends; equal to the link that it wraps. */
    private final class CountingLink implements Connection {
        private final Connection link;

        private CountingLink(Connection link) {
            this.link = link;
        }

        @Override
        public void send(Message message) {
            bytesToEntry.addAndGet(size(message));
            link.send(message);
        }

        @Override
        public void close() {
            link.close();
        }

        @Override
        public boolean equals(Object other) {
            return other instanceof CountingLink counting && counting.link.equals(link);
        }

        @Override
        public int hashCode() {
            return link.hashCode();
        }
    }

    /** Counts the bytes that an agent receives. */
    private final class Counting implements ConnectionListener {
        private final ConnectionListener listener;

        private Counting(ConnectionListener listener) {
            this.listener = listener;
        }

        @Override
        public void messageReceived(Connection link, Message message) {
            bytesToAgents.addAndGet(size(message));
            listener.messageReceived(new CountingLink(link), message);
        }

        @Override
        public void connectionClosed(Connection link) {
            listener.connectionClosed(new CountingLink(link));
        }
    }
}
