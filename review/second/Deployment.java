package second;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.BooleanSupplier;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * A small deployment on loopback addresses: the project's programs, started with the commands of deploy/system.toml and
 * settings filled in from deploy/settings.toml, beside stand-ins for the store and the workers.
 *
 * <p>Each machine has an address of its own below 127.0.0.0/8. A worker is a process of its own, so that it can be killed.
 */
final class Deployment implements AutoCloseable {
    static final String SERVICE = "listings";
    static final String HOST = "jobs.example";
    static final String PREFIX = "/desk/";
    private static final Duration START_TIMEOUT = Duration.ofSeconds(40);

    /** A process of a machine. */
    static final class Member {
        final String name;
        final String zone;
        final String ip;
        final Map<String, String> fields = new HashMap<>();
        final int workerPort;
        Process process;
        Process worker;

        private Member(String name, String zone, String ip, int workerPort) {
            this.name = name;
            this.zone = zone;
            this.ip = ip;
            this.workerPort = workerPort;
        }

        String workerAddress() {
            return ip + ":" + workerPort;
        }
    }

    private final Path top = Path.of("").toAbsolutePath();
    private final Path work;
    private final PrintWriter record;
    private final String network;
    private final StoreServer store;
    private final String storeAddress;
    private final Map<String, Member> members = new LinkedHashMap<>();
    private final List<Process> processes = new ArrayList<>();
    private final HttpClient client = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(Duration.ofSeconds(2))
            .build();
    private int machines = 1;

    Deployment(PrintWriter record) throws IOException {
        this.record = record;
        this.work = Files.createTempDirectory("gypsumflow-review");
        ThreadLocalRandom random = ThreadLocalRandom.current();
        this.network = "127." + random.nextInt(20, 250) + "." + random.nextInt(1, 250) + ".";
        String storeIp = network + machines++;
        int port = freePort(storeIp);
        this.storeAddress = storeIp + ":" + port;
        this.store = new StoreServer(new InetSocketAddress(storeIp, port));
    }

    static int freePort(String ip) throws IOException {
        try (ServerSocket socket = new ServerSocket()) {
            socket.bind(new InetSocketAddress(ip, 0));
            return socket.getLocalPort();
        }
    }

    StoreServer store() {
        return store;
    }

    Path journal(Member member) {
        return work.resolve(member.name + ".journal");
    }

    /** Writes a line to the record of the run. */
    void note(String text) {
        record.println(System.currentTimeMillis() + " " + text);
        record.flush();
    }

    void putConfig(long version, int timeoutMs, double stretch) {
        putConfig(version, timeoutMs, stretch, List.of(PREFIX));
    }

    /** Writes a desired state with one route for each path prefix. */
    void putConfig(long version, int timeoutMs, double stretch, List<String> prefixes) {
        String routes = prefixes.stream()
                .map(prefix -> "{\"name\":\"r-" + prefix.replace("/", "") + "\",\"host\":\"" + HOST
                        + "\",\"pathPrefix\":\"" + prefix + "\",\"kind\":\"mutating\",\"timeoutMs\":" + timeoutMs
                        + ",\"targetLatencyMs\":60,\"priority\":0,\"service\":\"" + SERVICE
                        + "\",\"maxAttempts\":4,\"stretch\":" + stretch + "}")
                .collect(Collectors.joining(","));
        store.put(
                "keyed.op",
                "config",
                "{\"version\":" + version + ",\"routes\":[" + routes + "],\"services\":[{\"name\":\"" + SERVICE
                        + "\",\"enforcesCapacity\":true}],\"limits\":{}}");
    }

    Member addEntry(String name, String zone) throws IOException {
        return add(name, zone, "entry");
    }

    /** Starts an agent; its worker is started by {@link #startWorker}. */
    Member addAgent(String name, String zone) throws IOException {
        return add(name, zone, "agent");
    }

    private Member add(String name, String zone, String role) throws IOException {
        String ip = network + machines++;
        Member member = new Member(name, zone, ip, freePort(ip));
        member.fields.put("role", role);
        member.fields.put("nodeName", name);
        member.fields.put("zone", zone);
        member.fields.put("ip", ip);
        member.fields.put("internalPorts.0", Integer.toString(freePort(ip)));
        member.fields.put("platform.address", storeAddress);
        member.fields.put("bounds.graceS", "6");
        if (role.equals("entry")) {
            member.fields.put("listen.frontend", ip + ":" + freePort(ip));
            member.fields.put("listen.readiness", ip + ":" + freePort(ip));
        } else {
            member.fields.put("listen.control", ip + ":" + freePort(ip));
            member.fields.put("app", member.workerAddress());
        }
        members.put(name, member);
        start(member);
        return member;
    }

    private void start(Member member) throws IOException {
        String template = Files.readString(top.resolve("deploy/settings.toml"));
        Matcher fields = Pattern.compile("\\{\\{([A-Za-z0-9.]+)}}").matcher(template);
        Path settings = work.resolve(member.name + ".toml");
        Files.writeString(
                settings,
                fields.replaceAll(found ->
                        Matcher.quoteReplacement(member.fields.getOrDefault(found.group(1), ""))));
        Matcher command = Pattern.compile("\\[roles\\." + member.fields.get("role") + "]\\s+run = \"([^\"]+)\"")
                .matcher(Files.readString(top.resolve("deploy/system.toml")));
        if (!command.find()) {
            throw new IOException("no command for " + member.name);
        }
        member.process = launch(
                Arrays.asList(command.group(1).split(" +")), Map.of("GYPSUMFLOW_CONFIG", settings.toString()), member.name);
        note("START-PROCESS " + member.name + " pid " + member.process.pid());
    }

    /** Starts a worker on the machine of an agent. */
    void startWorker(Member agent, String id, String listen) throws IOException {
        agent.worker = launch(
                List.of(
                        "java",
                        "-Xmx64m",
                        "-XX:TieredStopAtLevel=1",
                        "-Dsun.net.httpserver.nodelay=true",
                        "-cp",
                        System.getProperty("java.class.path"),
                        "second.WorkerServer",
                        listen,
                        agent.fields.get("listen.control"),
                        id,
                        SERVICE,
                        agent.zone,
                        journal(agent).toString()),
                Map.of(),
                id);
        note("START-WORKER " + id + " of " + agent.name + " pid " + agent.worker.pid());
    }

    private Process launch(List<String> command, Map<String, String> environment, String name) throws IOException {
        ProcessBuilder builder = new ProcessBuilder(command)
                .directory(top.toFile())
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(
                        work.resolve(name + ".log").toFile()));
        builder.environment().putAll(environment);
        Process process = builder.start();
        processes.add(process);
        return process;
    }

    /** Sends a request of a client to an entry; completes with the status and body, or with why there is none. */
    CompletableFuture<String> call(Member entry, String method, String job, String body, long deadlineMillis) {
        HttpRequest.Builder request = HttpRequest.newBuilder(
                        URI.create("http://" + entry.fields.get("listen.frontend") + PREFIX + job))
                .timeout(Duration.ofMillis(deadlineMillis))
                .header("Host", HOST)
                .header("Deadline-Ms", Long.toString(deadlineMillis));
        if (body.isEmpty()) {
            request.method(method, HttpRequest.BodyPublishers.noBody());
        } else {
            request.header("Content-Type", "application/json")
                    .method(method, HttpRequest.BodyPublishers.ofString(body, StandardCharsets.UTF_8));
        }
        note("SENT " + method + " " + job + " to " + entry.name + " " + body);
        return client.sendAsync(request.build(), HttpResponse.BodyHandlers.ofString())
                .handle((response, failure) -> {
                    String answer = failure == null
                            ? response.statusCode() + " " + response.body()
                            : "no response: " + rootOf(failure);
                    note("ANSWERED " + method + " " + job + " by " + entry.name + ": " + answer);
                    return answer;
                });
    }

    private static Throwable rootOf(Throwable failure) {
        return failure.getCause() == null ? failure : rootOf(failure.getCause());
    }

    static String job(int count, int millicores, long millis, long estimateMillis) {
        return "{\"spec\":\"ms=" + millis + "\",\"bestEffort\":true,\"steps\":[{\"count\":" + count
                + ",\"cpu\":" + millicores + ",\"memMb\":100,\"estimateMs\":" + estimateMillis + "}]}";
    }

    boolean isReady(Member entry) {
        try {
            URI address = URI.create("http://" + entry.fields.get("listen.readiness") + "/readyz");
            return client.send(
                                    HttpRequest.newBuilder(address)
                                            .timeout(Duration.ofSeconds(1))
                                            .build(),
                                    HttpResponse.BodyHandlers.discarding())
                            .statusCode()
                    == 200;
        } catch (IOException notAnswered) {
            return false;
        } catch (InterruptedException interrupted) {
            throw new IllegalStateException(interrupted);
        }
    }

    /** Waits for a condition; throws if it does not come true in time, as the case could not run. */
    void await(String condition, BooleanSupplier predicate) throws InterruptedException {
        long endNanos = System.nanoTime() + START_TIMEOUT.toNanos();
        while (!predicate.getAsBoolean()) {
            if (System.nanoTime() > endNanos) {
                throw new IllegalStateException("not in time: " + condition);
            }
            Thread.sleep(20);
        }
    }

    /** Returns the lines of the journals of all workers, in the order of their times. */
    List<String> journals() {
        List<String> lines = new ArrayList<>();
        for (Member member : members.values()) {
            try {
                if (Files.exists(journal(member))) {
                    lines.addAll(Files.readAllLines(journal(member)));
                }
            } catch (IOException failure) {
                throw new UncheckedIOException(failure);
            }
        }
        lines.sort(Comparator.comparingLong(line -> Long.parseLong(line.substring(0, line.indexOf(' ')))));
        return lines;
    }

    /** Copies what the workers ran into the record. */
    void noteJournals() {
        journals().forEach(line -> record.println("WORKER " + line));
        record.flush();
    }

    /** Ends all processes that this deployment started. */
    void killAll() {
        processes.forEach(Process::destroyForcibly);
    }

    @Override
    public void close() throws IOException {
        killAll();
        for (Process process : processes) {
            try {
                process.waitFor();
            } catch (InterruptedException interrupted) {
                Thread.currentThread().interrupt();
            }
        }
        store.close();
        if (System.getenv("KEEP") == null) {
            try (Stream<Path> files = Files.walk(work)) {
                files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
            }
        } else {
            System.err.println(work);
        }
    }
}
