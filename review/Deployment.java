package review;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.File;
import java.io.IOException;
import java.net.ServerSocket;
import java.net.InetAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/** A small deployment on loopback addresses: entries and agents are processes, started as the deploy file says. */
final class Deployment {
    static final String SERVICE = "dispatch";
    static final String JOB_HOST = "desk.example";
    private static final Path DEPLOY_FILE = Path.of("deploy/system.toml");
    private static final String HOST = "127.0.0.1";
    private static final Duration START_TIMEOUT = Duration.ofSeconds(30);

    /** A process of the system. */
    static final class Daemon {
        final String name;
        final int port;
        private Process process;
        private ProcessBuilder builder;

        private Daemon(String name, int port) {
            this.name = name;
            this.port = port;
        }
    }

    final Record record;
    final StoreStandIn store = new StoreStandIn();
    final List<WorkerStandIn.Run> runs = new ArrayList<>();
    private final Path folder;
    private final List<Daemon> daemons = new ArrayList<>();
    private final HttpClient client = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(Duration.ofSeconds(2))
            .build();

    Deployment(Record record) throws IOException {
        this.record = record;
        this.folder = Files.createTempDirectory("review");
        Runtime.getRuntime().addShutdownHook(new Thread(this::endAll));
    }

    Daemon startEntry(String name, String zone, int storePort) throws IOException {
        Daemon entry = new Daemon(name, freePort());
        start(
                entry,
                "entry",
                zone,
                "store-address = \"" + HOST + ":" + storePort + "\"",
                "callers-address = \"" + HOST + ":" + entry.port + "\"",
                "readiness-address = \"" + HOST + ":" + freePort() + "\"");
        return entry;
    }

    /** Starts a worker and the agent beside it. */
    WorkerStandIn startWorker(String name, String zone, int cpu, int storePort) throws IOException {
        Daemon agent = new Daemon("agent-" + name, freePort());
        WorkerStandIn worker = new WorkerStandIn(name, zone, SERVICE, cpu, agent.port, record, runs);
        start(
                agent,
                "agent",
                zone,
                "store-address = \"" + HOST + ":" + storePort + "\"",
                "reports-address = \"" + HOST + ":" + agent.port + "\"",
                "worker-address = \"" + HOST + ":" + worker.port + "\"");
        return worker;
    }

    private void start(Daemon daemon, String role, String zone, String... addresses) throws IOException {
        List<String> lines = new ArrayList<>(List.of(
                "role = \"" + role + "\"",
                "name = \"" + daemon.name + "\"",
                "zone = \"" + zone + "\"",
                "host = \"" + HOST + "\"",
                "port = " + freePort(),
                "[dispatch]"));
        lines.addAll(List.of(addresses));
        lines.add("grace-seconds = 6");
        lines.add("metrics-address = \"" + HOST + ":" + freePort() + "\"");
        Path settings = folder.resolve(daemon.name + ".toml");
        Files.write(settings, lines);
        JsonNode deploy = new TomlMapper().readTree(DEPLOY_FILE.toFile());
        ProcessBuilder builder = new ProcessBuilder(
                deploy.path("roles").path(role).path("run").asText().split(" "));
        builder.environment().put("GYPSUMFLOW_CONFIG", settings.toString());
        builder.redirectErrorStream(true);
        builder.redirectOutput(
                ProcessBuilder.Redirect.appendTo(folder.resolve(daemon.name + ".log").toFile()));
        daemon.builder = builder;
        daemons.add(daemon);
        restart(daemon);
    }

    /** Starts a process, or starts it again after its end, with the same settings. */
    void restart(Daemon daemon) throws IOException {
        daemon.process = daemon.builder.start();
        record.add("starts " + daemon.name);
    }

    List<Daemon> daemons() {
        return List.copyOf(daemons);
    }

    void signal(Daemon daemon, String name) throws Exception {
        record.add("sends SIG" + name + " to " + daemon.name);
        new ProcessBuilder("bash", "-c", "kill -" + name + " " + daemon.process.pid())
                .start()
                .waitFor();
    }

    /** Writes a desired state with one route for each of the path prefixes. */
    void putRoutes(int version, String... prefixes) {
        List<String> routes = new ArrayList<>();
        for (String prefix : prefixes) {
            routes.add("{\"name\":\"r" + prefix.replace("/", "-") + "\",\"host\":\"" + JOB_HOST + "\",\"pathPrefix\":\"" + prefix
                    + "\",\"kind\":\"mutating\",\"timeoutMs\":60000,\"targetLatencyMs\":3000,\"priority\":0,\"service\":\""
                    + SERVICE + "\",\"maxAttempts\":3,\"stretch\":20}");
        }
        store.put(
                "config",
                "{\"version\":" + version + ",\"routes\":[" + String.join(",", routes) + "],\"services\":[{\"name\":\""
                        + SERVICE + "\",\"healthPath\":\"/healthz\",\"maxConns\":64,\"protocol\":\"h1\",\"tls\":false,"
                        + "\"enforcesCapacity\":true,\"standby\":false}],\"limits\":{\"maxHeaderBytes\":16384,"
                        + "\"maxBodyBytes\":262144,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}");
        record.add("operator: desired state " + version + " with routes " + String.join(" ", prefixes)
                + " is acknowledged");
    }

    /** Hands a job in, and returns the status of the response; 0 if there is none. */
    CompletableFuture<Integer> submit(Daemon entry, String prefix, String id, int tasks, long taskMillis, long deadlineMillis) {
        String body = "{\"spec\":\"ms=" + taskMillis + "\",\"bestEffort\":true,\"steps\":[{\"count\":" + tasks
                + ",\"cpu\":1000,\"memMb\":64,\"estimateMs\":" + taskMillis + "}]}";
        record.add("client: POST " + prefix + id + " to " + entry.name + ", " + tasks + " tasks of " + taskMillis + " ms");
        return send("POST", entry, prefix + id, body, deadlineMillis);
    }

    CompletableFuture<Integer> cancel(Daemon entry, String prefix, String id, long deadlineMillis) {
        record.add("client: DELETE " + prefix + id + " to " + entry.name);
        return send("DELETE", entry, prefix + id, "", deadlineMillis);
    }

    private CompletableFuture<Integer> send(String method, Daemon entry, String path, String body, long deadlineMillis) {
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + HOST + ":" + entry.port + path))
                .header("Host", JOB_HOST)
                .header("Content-Type", "application/json")
                .header("Deadline-Ms", Long.toString(deadlineMillis))
                .timeout(Duration.ofMillis(deadlineMillis))
                .method(
                        method,
                        body.isEmpty()
                                ? HttpRequest.BodyPublishers.noBody()
                                : HttpRequest.BodyPublishers.ofString(body))
                .build();
        return client.sendAsync(request, HttpResponse.BodyHandlers.ofString()).handle((response, failure) -> {
            int status = failure == null ? response.statusCode() : 0;
            record.add("client: " + method + " " + path + " at " + entry.name + " gets "
                    + (failure == null ? status + " " + response.body() : "no response (" + failure.getCause() + ")"));
            return status;
        });
    }

    /** Waits until a job of one short task is done at each of the entries. */
    void awaitService(String prefix, Daemon... entries) throws Exception {
        long deadline = System.nanoTime() + START_TIMEOUT.toNanos();
        for (Daemon entry : entries) {
            int attempt = 0;
            while (submit(entry, prefix, String.format("%08x%08x", entry.port, attempt++), 1, 50, 2000).get() != 200) {
                if (System.nanoTime() > deadline) {
                    throw new IOException(entry.name + " does not serve");
                }
                TimeUnit.MILLISECONDS.sleep(200);
            }
        }
    }

    List<WorkerStandIn.Run> runsOf(String job) {
        synchronized (runs) {
            return runs.stream().filter(run -> run.task.startsWith(job + ".")).toList();
        }
    }

    private void endAll() {
        for (Daemon daemon : daemons) {
            daemon.process.destroyForcibly();
        }
        String keep = System.getenv("REVIEW_KEEP");
        File[] files = folder.toFile().listFiles();
        if (keep == null && files != null) {
            for (File file : files) {
                file.delete();
            }
            folder.toFile().delete();
        }
    }

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(HOST))) {
            return socket.getLocalPort();
        }
    }
}
