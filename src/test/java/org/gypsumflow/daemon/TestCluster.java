package org.gypsumflow.daemon;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.stream.Stream;
import org.gypsumflow.http.HttpClient;
import org.gypsumflow.model.AvailabilityZone;
import org.gypsumflow.model.ServiceName;
import org.gypsumflow.model.WorkerName;
import org.gypsumflow.standin.LogStandIn;
import org.gypsumflow.standin.TargetStandIn;

/**
 * Entry and agent daemons for claimed jobs on free local ports, with stand-ins for the platform's log and the targets.
 */
final class TestCluster implements AutoCloseable {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(40);
    private static final Duration AWAIT_TIMEOUT = Duration.ofSeconds(60);
    private static final long POLL_DELAY_MILLIS = 20;

    /** HTTP response with its parsed JSON body. */
    record Response(int status, JsonNode json) {}

    final LogStandIn log = LogStandIn.start(0, Duration.ofMillis(2), Duration.ofHours(1));
    final List<Daemon> entries = new ArrayList<>();
    final List<Daemon> agents = new ArrayList<>();
    final List<TargetStandIn> targets = new ArrayList<>();
    private final HttpClient httpClient = HttpClient.create();
    private final Path journals;

    private TestCluster() {
        try {
            this.journals = Files.createTempDirectory("gypsumflow-journals");
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
    }

    static TestCluster start(int entries, String... zones) {
        TestCluster cluster = new TestCluster();
        for (int index = 1; index <= entries; index++) {
            cluster.entries.add(Daemon.start(cluster.createSettings("entry", "entry-" + index, zones[0])));
        }
        for (String zone : zones) {
            cluster.addAgent(zone);
        }
        cluster.await(() -> cluster.countOpenWorkers() == (long) entries * zones.length);
        return cluster;
    }

    String url(int entry) {
        return "http://127.0.0.1:" + entries.get(entry).httpPort();
    }

    Response submit(int entry, String key, String body) {
        return submitAsync(entry, key, body).join();
    }

    CompletableFuture<Response> submitAsync(int entry, String key, String body) {
        Map<String, String> headers = Map.of("Idempotency-Key", key);
        return postAsync(entry, "jobs", "caller-token", headers, body.getBytes(StandardCharsets.UTF_8));
    }

    Response post(int entry, String path, String token, Map<String, String> headers, byte[] body) {
        return postAsync(entry, path, token, headers, body).join();
    }

    private CompletableFuture<Response> postAsync(
            int entry, String path, String token, Map<String, String> headers, byte[] body) {
        Map<String, String> allHeaders = new java.util.HashMap<>(headers);
        allHeaders.put("Authorization", "Bearer " + token);
        return httpClient
                .post(url(entry) + "/v1/commands/" + path, allHeaders, body, REQUEST_TIMEOUT)
                .thenApply(TestCluster::toResponse);
    }

    Response query(int entry, String path) {
        Map<String, String> headers = Map.of("Authorization", "Bearer operator-token");
        return toResponse(httpClient
                .get(url(entry) + "/v1/queries/" + path, headers, REQUEST_TIMEOUT)
                .join());
    }

    String getText(String url) {
        return new String(httpClient.get(url, Map.of(), REQUEST_TIMEOUT).join().body(), StandardCharsets.UTF_8);
    }

    /** Returns the lines of all journals of started tasks; each holds task, worker, zone and time. */
    List<String> readStartedTasks() {
        List<String> lines = new ArrayList<>();
        try (Stream<Path> files = Files.list(journals)) {
            for (Path file : files.toList()) {
                lines.addAll(Files.readAllLines(file));
            }
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
        return lines;
    }

    /** Polls until a condition holds, and fails after a minute. */
    void await(BooleanSupplier condition) {
        long deadline = System.nanoTime() + AWAIT_TIMEOUT.toNanos();
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() - deadline > 0) {
                throw new IllegalStateException("the awaited condition was not met in time");
            }
            CompletableFuture.runAsync(
                            () -> {}, CompletableFuture.delayedExecutor(POLL_DELAY_MILLIS, TimeUnit.MILLISECONDS))
                    .join();
        }
    }

    @Override
    public void close() {
        entries.forEach(Daemon::abort);
        agents.forEach(Daemon::abort);
        targets.forEach(TargetStandIn::close);
        log.close();
        httpClient.close();
    }

    private long countOpenWorkers() {
        long openWorkers = 0;
        for (int entry = 0; entry < entries.size(); entry++) {
            for (JsonNode worker : query(entry, "workers").json().path("workers")) {
                openWorkers += worker.path("standing").asText().equals("open") ? 1 : 0;
            }
        }
        return openWorkers;
    }

    private void addAgent(String zone) {
        String name = zone + "-" + (agents.size() + 1);
        Daemon agent = Daemon.start(createSettings("agent", name, zone));
        agents.add(agent);
        TargetStandIn target = TargetStandIn.start(
                WorkerName.of(name), AvailabilityZone.of(zone), journals.resolve(name + ".journal"));
        target.announceTo("http://127.0.0.1:" + agent.httpPort(), ServiceName.of("bookings"));
        targets.add(target);
    }

    private AtMostOnceSettings createSettings(String role, String name, String zone) {
        return AtMostOnceSettings.read(SettingsReader.parse(String.join(
                "\n",
                "role = \"" + role + "\"",
                "name = \"" + name + "\"",
                "zone = \"" + zone + "\"",
                "[log]",
                "url = \"" + log.url() + "\"",
                "[callers]",
                "ruseva = \"caller-token\"",
                "[operators]",
                "night = \"operator-token\"")));
    }

    private static Response toResponse(HttpClient.ClientResponse clientResponse) {
        try {
            return new Response(clientResponse.status(), JSON.readTree(clientResponse.body()));
        } catch (IOException malformed) {
            throw new UncheckedIOException(malformed);
        }
    }
}
