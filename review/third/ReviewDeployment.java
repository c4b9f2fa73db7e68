import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.gypsumflow.standin.StoreStandIn;

/**
 * A small deployment on loopback addresses: a store, entries and agents as the deploy file starts them, and a worker beside
 * each agent behind a proxy. It records what clients, workers and this test see.
 */
final class ReviewDeployment implements AutoCloseable {
    static final String HOST_NAME = "dispatch.example";
    static final String PREFIX = "/jobs/";
    private static final Path REPOSITORY = Path.of("").toAbsolutePath();

    /** A start or an end that a worker printed. */
    record WorkerEvent(long atMillis, String worker, long born, String what) {}

    final class Machine {
        final String name;
        final String ip;
        final String zone;
        final String role;
        final Map<String, Integer> ports = new HashMap<>();
        Process process;
        /** Reads what the process writes; null if that goes to a file. */
        LogCollector collector;

        Machine(String name, String ip, String zone, String role) {
            this.name = name;
            this.ip = ip;
            this.zone = zone;
            this.role = role;
        }

        int port(String use) throws IOException {
            if (!ports.containsKey(use)) {
                try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getByName(ip))) {
                    ports.put(use, free.getLocalPort());
                }
            }
            return ports.get(use);
        }

        String url(String use) throws IOException {
            return "http://" + ip + ":" + port(use);
        }
    }

    final class Worker {
        final Machine machine;
        final OrderProxy proxy;
        Process process;

        Worker(Machine machine) throws IOException {
            this.machine = machine;
            this.proxy = new OrderProxy(
                    OrderProxy.loopback(machine.ip, machine.port("app")),
                    OrderProxy.loopback(machine.ip, machine.port("worker")));
        }

        void start() throws IOException {
            process = new ProcessBuilder(
                            "java", "-Xmx48m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-cp",
                            System.getProperty("java.class.path"), "ReviewWorker", machine.ip,
                            Integer.toString(machine.port("worker")), "i-" + machine.name, "dispatch", machine.zone,
                            machine.url("control"), "32000")
                    .redirectError(ProcessBuilder.Redirect.appendTo(
                            folder.resolve(machine.name + "-worker.log").toFile()))
                    .start();
            processes.add(process);
            Process started = process;
            CompletableFuture<Void> up = new CompletableFuture<>();
            Thread reader = new Thread(() -> follow(started, up));
            reader.setDaemon(true);
            reader.start();
            up.orTimeout(10, TimeUnit.SECONDS).join();
            proxy.listen();
        }

        /** Ends the process as a crash does: nothing listens at its address afterwards. */
        void crash() throws Exception {
            process.destroyForcibly().waitFor();
            long now = System.currentTimeMillis();
            proxy.refuse();
            events.add(new WorkerEvent(now, machine.name, 0, "killed"));
            record("worker " + machine.name + " killed");
        }

        private void follow(Process started, CompletableFuture<Void> up) {
            try (BufferedReader lines = new BufferedReader(new InputStreamReader(started.getInputStream()))) {
                long born = 0;
                for (String line = lines.readLine(); line != null; line = lines.readLine()) {
                    long at = Long.parseLong(line.substring(0, line.indexOf(' ')));
                    String what = line.substring(line.indexOf(' ') + 1);
                    if (what.equals("up")) {
                        born = at;
                        up.complete(null);
                    }
                    WorkerEvent event = new WorkerEvent(at, machine.name, born, what);
                    events.add(event);
                    record("worker " + machine.name + " (born " + born + ") at " + at + ": " + what);
                    listeners.forEach(listener -> listener.accept(event));
                }
            } catch (IOException ended) {
                // The process was killed.
            }
        }
    }

    final List<Machine> entries = new ArrayList<>();
    final List<Worker> workers = new ArrayList<>();
    final List<WorkerEvent> events = new CopyOnWriteArrayList<>();
    final List<Consumer<WorkerEvent>> listeners = new CopyOnWriteArrayList<>();
    final HttpClient client = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .build();
    /** The link of each entry to the store, by the entry's name. */
    final Map<String, LinkProxy> storeLinks = new HashMap<>();
    StoreStandIn store;
    String storeAddress;
    private final List<Process> processes = new CopyOnWriteArrayList<>();
    private final Path folder;
    private final PrintWriter recordWriter;
    private final int network = 1 + (int) (ProcessHandle.current().pid() % 200);

    ReviewDeployment(Path recordFile) throws IOException {
        recordWriter = new PrintWriter(Files.newBufferedWriter(recordFile), true);
        folder = Files.createTempDirectory("review");
        Runtime.getRuntime().addShutdownHook(new Thread(this::endProcesses));
    }

    /** Starts the store, the entries, the agents and the workers, and waits until jobs can run. */
    void start(int entryCount, int agentCount) throws Exception {
        String storeHost = "127." + (60 + network % 60) + "." + network + ".2";
        store = StoreStandIn.start(storeHost, 0);
        storeAddress = storeHost + ":" + store.port();
        putRoutes(10);
        for (int number = 1; number <= entryCount; number++) {
            Machine entry = new Machine("edge-z" + number, address(10 + number), "z" + number, "entry");
            entries.add(entry);
            entry.collector = new LogCollector();
            storeLinks.put(entry.name, new LinkProxy(storeHost, OrderProxy.loopback(storeHost, store.port())));
            start(entry);
        }
        for (int number = 1; number <= agentCount; number++) {
            String zone = "z" + (1 + (number - 1) % entryCount);
            Machine machine = new Machine("side-" + zone + "-" + number, address(50 + number), zone, "agent");
            machine.collector = new LogCollector();
            start(machine);
            workers.add(new Worker(machine));
        }
        for (Worker worker : workers) {
            worker.start();
        }
        for (Machine entry : entries) {
            awaitReady(entry);
        }
        TimeUnit.SECONDS.sleep(4);
    }

    private String address(int last) {
        return "127." + (60 + network % 60) + "." + network + "." + last;
    }

    void putRoutes(int version) {
        putRoutes(version, "");
    }

    /** Writes a desired state with the usual route and, if its prefix is not empty, another one. */
    void putRoutes(int version, String addedPrefix) {
        String routes = route("r", PREFIX) + (addedPrefix.isEmpty() ? "" : "," + route("added", addedPrefix));
        store.put("keyed.op", "config", "{\"version\":" + version + ",\"routes\":[" + routes
                + "],\"services\":[{\"name\":\"dispatch\",\"enforcesCapacity\":true}]}");
    }

    private static String route(String name, String prefix) {
        return "{\"name\":\"" + name + "\",\"host\":\"" + HOST_NAME + "\",\"pathPrefix\":\"" + prefix
                + "\",\"service\":\"dispatch\",\"priority\":1,\"maxAttempts\":3,\"stretch\":1.6,"
                + "\"targetLatencyMs\":60,\"timeoutMs\":20000}";
    }

    /** Starts a daemon with the command and the template of the deploy file. */
    void start(Machine machine) throws IOException {
        Path settings = folder.resolve(machine.name + ".toml");
        Files.writeString(settings, settingsOf(machine));
        ProcessBuilder builder = new ProcessBuilder(commandOf(machine.role))
                .directory(REPOSITORY.toFile())
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(
                        folder.resolve(machine.name + ".log").toFile()));
        builder.environment().put("GYPSUMFLOW_CONFIG", settings.toString());
        if (machine.collector != null) {
            builder.redirectOutput(ProcessBuilder.Redirect.PIPE);
        }
        machine.process = builder.start();
        if (machine.collector != null) {
            machine.collector.collect(machine.process.getInputStream(), folder.resolve(machine.name + ".log"));
        }
        processes.add(machine.process);
        record("process " + machine.name + " started");
    }

    void kill(Machine machine) throws InterruptedException {
        machine.process.destroyForcibly().waitFor();
        record("process " + machine.name + " killed");
    }

    void signal(Process process, String name) throws Exception {
        new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
    }

    private static List<String> commandOf(String role) throws IOException {
        String deploy = Files.readString(REPOSITORY.resolve("deploy/system.toml"));
        Matcher run = Pattern.compile("\\[roles\\." + role + "\\]\\s+run = \"([^\"]*)\"").matcher(deploy);
        if (!run.find()) {
            throw new IOException("no role " + role + " in the deploy file");
        }
        return List.of(run.group(1).split(" "));
    }

    private String settingsOf(Machine machine) throws IOException {
        boolean entry = machine.role.equals("entry");
        Map<String, String> values = Map.of(
                "role", machine.role,
                "nodeName", machine.name,
                "zone", machine.zone,
                "ip", machine.ip,
                "internalPorts.0", Integer.toString(machine.port("internal")),
                "platform.address", entry ? storeLinks.get(machine.name).address() : storeAddress,
                "listen.frontend", entry ? machine.ip + ":" + machine.port("frontend") : "",
                "listen.readiness", entry ? machine.ip + ":" + machine.port("readiness") : "",
                "listen.control", entry ? "" : machine.ip + ":" + machine.port("control"),
                "app", entry ? "" : machine.ip + ":" + machine.port("app"));
        String text = Files.readString(REPOSITORY.resolve("deploy/settings.toml")).replace("{{bounds.graceS}}", "6");
        for (Map.Entry<String, String> value : values.entrySet()) {
            text = text.replace("{{" + value.getKey() + "}}", value.getValue());
        }
        return text;
    }

    private void awaitReady(Machine entry) throws Exception {
        long until = System.currentTimeMillis() + 30_000;
        while (System.currentTimeMillis() < until) {
            try {
                HttpResponse<String> answer = client.send(
                        HttpRequest.newBuilder(URI.create(entry.url("readiness") + "/readyz"))
                                .timeout(Duration.ofSeconds(1))
                                .build(),
                        HttpResponse.BodyHandlers.ofString());
                if (answer.statusCode() == 200) {
                    return;
                }
            } catch (IOException notYet) {
                // The process is starting.
            }
            TimeUnit.MILLISECONDS.sleep(100);
        }
        throw new IOException(entry.name + " is not ready");
    }

    /** Sends a job and returns the status of the answer; 0 if there was none or the connection broke. */
    CompletableFuture<Integer> post(Machine entry, String id, int tasks, long workMillis, long deadlineMillis)
            throws IOException {
        String body = "{\"spec\":\"work=" + workMillis + "\",\"bestEffort\":true,\"steps\":[{\"count\":" + tasks
                + ",\"cpu\":3100,\"memMb\":64,\"estimateMs\":" + workMillis + "}]}";
        return request("POST", entry, id, body, deadlineMillis);
    }

    /** Asks an entry for the number of jobs of a route that have not begun. */
    CompletableFuture<Integer> get(Machine entry, String prefix) throws IOException {
        return send("GET", entry, prefix, "", 1500);
    }

    CompletableFuture<Integer> request(String method, Machine entry, String id, String body, long deadlineMillis)
            throws IOException {
        return send(method, entry, PREFIX + id, body, deadlineMillis);
    }

    private CompletableFuture<Integer> send(
            String method, Machine entry, String path, String body, long deadlineMillis) throws IOException {
        // A client of this library cannot set Host; a raw connection for each request can.
        CompletableFuture<Integer> status = new CompletableFuture<>();
        record("client " + method + " " + path + " to " + entry.name);
        String ip = entry.ip;
        int port = entry.port("frontend");
        Thread thread = new Thread(() -> {
            int result = 0;
            try (java.net.Socket socket = new java.net.Socket()) {
                socket.connect(new InetSocketAddress(ip, port), 1000);
                socket.setSoTimeout((int) deadlineMillis);
                String head = method + " " + path + " HTTP/1.1\r\nHost: " + HOST_NAME + "\r\nDeadline-Ms: "
                        + deadlineMillis + "\r\nContent-Type: application/json\r\nContent-Length: " + body.length()
                        + "\r\n\r\n";
                socket.getOutputStream().write((head + body).getBytes());
                socket.getOutputStream().flush();
                String line = new BufferedReader(new InputStreamReader(socket.getInputStream())).readLine();
                result = line == null ? 0 : Integer.parseInt(line.split(" ")[1]);
            } catch (IOException noAnswer) {
                result = 0;
            }
            record("client " + method + " " + path + " to " + entry.name + " -> " + (result == 0 ? "no answer" : result));
            status.complete(result);
        });
        thread.setDaemon(true);
        thread.start();
        return status;
    }

    synchronized void record(String line) {
        recordWriter.println(System.currentTimeMillis() + " " + line);
    }

    Path folder() {
        return folder;
    }

    /** Runs of one task that overlap in time on workers that are up, as a text for each pair. */
    List<String> overlappingRuns() {
        record Interval(String task, String where, long from, long to) {}
        List<Interval> intervals = new ArrayList<>();
        List<WorkerEvent> all = List.copyOf(events);
        for (int index = 0; index < all.size(); index++) {
            WorkerEvent start = all.get(index);
            if (!start.what().startsWith("start ")) {
                continue;
            }
            String run = start.what().substring("start ".length());
            long to = Long.MAX_VALUE;
            for (WorkerEvent later : all.subList(index + 1, all.size())) {
                boolean ends = later.worker().equals(start.worker())
                        && (later.what().equals("killed")
                                || (later.born() == start.born() && later.what().startsWith("end " + run + " ")));
                if (ends) {
                    to = later.atMillis();
                    break;
                }
            }
            String task = run.substring(0, run.indexOf(' '));
            intervals.add(new Interval(task, start.worker() + " born " + start.born() + " run " + run, start.atMillis(), to));
        }
        List<String> overlaps = new ArrayList<>();
        for (int one = 0; one < intervals.size(); one++) {
            for (int other = one + 1; other < intervals.size(); other++) {
                Interval first = intervals.get(one);
                Interval second = intervals.get(other);
                long overlap = Math.min(first.to(), second.to()) - Math.max(first.from(), second.from());
                boolean startsInside = second.from() > first.from() && second.from() < first.to()
                        || first.from() > second.from() && first.from() < second.to();
                if (first.task().equals(second.task()) && startsInside) {
                    overlaps.add(first.where() + " and " + second.where() + " ran together, for " + overlap + " ms");
                }
            }
        }
        return overlaps;
    }

    private void endProcesses() {
        processes.forEach(Process::destroyForcibly);
    }

    @Override
    public void close() throws IOException {
        endProcesses();
        if (store != null) {
            store.close();
        }
        recordWriter.close();
        String keep = System.getenv("KEEP_LOGS");
        if (keep != null) {
            try (var files = Files.list(folder)) {
                for (Path file : files.toList()) {
                    Files.createDirectories(Path.of(keep));
                    Files.copy(file, Path.of(keep).resolve(file.getFileName()), java.nio.file.StandardCopyOption.REPLACE_EXISTING);
                }
            }
        }
        try (var files = Files.list(folder)) {
            for (Path file : files.toList()) {
                Files.delete(file);
            }
        }
        Files.delete(folder);
    }
}
