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

/** Real daemons over real sockets on free ports, with stand-ins for the log and the targets. */
final class TestCluster implements AutoCloseable {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(40);
    private static final Duration LIMIT = Duration.ofSeconds(60);
    private static final long PAUSE_MILLIS = 20;

    /** An answer over HTTP. */
    record Answer(int status, JsonNode json) {}

    final LogStandIn log = LogStandIn.start(0, Duration.ofMillis(2), Duration.ofHours(1));
    final List<Daemon> entries = new ArrayList<>();
    final List<Daemon> agents = new ArrayList<>();
    final List<TargetStandIn> targets = new ArrayList<>();
    private final HttpClient caller = HttpClient.create();
    private final Path journals;

    private TestCluster() {
        try {
            this.journals = Files.createTempDirectory("gypsumflow-journals");
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
    }

    static TestCluster start(int entries, String... zones) {
        TestCluster site = new TestCluster();
        for (int index = 1; index <= entries; index++) {
            site.entries.add(Daemon.start(site.settings("entry", "entry-" + index, zones[0])));
        }
        for (String zone : zones) {
            site.addAgent(zone);
        }
        site.await(() -> site.openWorkers() == (long) entries * zones.length);
        return site;
    }

    String url(int entry) {
        return "http://127.0.0.1:" + entries.get(entry).httpPort();
    }

    Answer submit(int entry, String key, String body) {
        return submitAsync(entry, key, body).join();
    }

    CompletableFuture<Answer> submitAsync(int entry, String key, String body) {
        Map<String, String> headers = Map.of("Idempotency-Key", key);
        return postLater(entry, "jobs", "caller-token", headers, body.getBytes(StandardCharsets.UTF_8));
    }

    Answer post(int entry, String path, String token, Map<String, String> headers, byte[] body) {
        return postLater(entry, path, token, headers, body).join();
    }

    private CompletableFuture<Answer> postLater(
            int entry, String path, String token, Map<String, String> headers, byte[] body) {
        Map<String, String> all = new java.util.HashMap<>(headers);
        all.put("Authorization", "Bearer " + token);
        return caller.post(url(entry) + "/v1/commands/" + path, all, body, CALL_TIMEOUT)
                .thenApply(TestCluster::answer);
    }

    Answer query(int entry, String path) {
        Map<String, String> headers = Map.of("Authorization", "Bearer operator-token");
        return answer(caller.get(url(entry) + "/v1/queries/" + path, headers, CALL_TIMEOUT)
                .join());
    }

    String text(String url) {
        return new String(caller.get(url, Map.of(), CALL_TIMEOUT).join().body(), StandardCharsets.UTF_8);
    }

    /** Returns the lines of all journals: task, worker, zone, time. */
    List<String> starts() {
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

    void await(BooleanSupplier condition) {
        long deadline = System.nanoTime() + LIMIT.toNanos();
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() - deadline > 0) {
                throw new IllegalStateException("the condition did not come true in time");
            }
            CompletableFuture.runAsync(() -> {}, CompletableFuture.delayedExecutor(PAUSE_MILLIS, TimeUnit.MILLISECONDS))
                    .join();
        }
    }

    @Override
    public void close() {
        entries.forEach(Daemon::abort);
        agents.forEach(Daemon::abort);
        targets.forEach(TargetStandIn::close);
        log.close();
        caller.close();
    }

    private long openWorkers() {
        long open = 0;
        for (int entry = 0; entry < entries.size(); entry++) {
            for (JsonNode worker : query(entry, "workers").json().path("workers")) {
                open += worker.path("standing").asText().equals("open") ? 1 : 0;
            }
        }
        return open;
    }

    private void addAgent(String zone) {
        String name = zone + "-" + (agents.size() + 1);
        Daemon agent = Daemon.start(settings("agent", name, zone));
        agents.add(agent);
        TargetStandIn target = TargetStandIn.start(
                WorkerName.of(name), AvailabilityZone.of(zone), journals.resolve(name + ".journal"));
        target.announceTo("http://127.0.0.1:" + agent.httpPort(), ServiceName.of("bookings"));
        targets.add(target);
    }

    private AtMostOnceSettings settings(String role, String name, String zone) {
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

    private static Answer answer(HttpClient.ClientResponse answer) {
        try {
            return new Answer(answer.status(), JSON.readTree(answer.body()));
        } catch (IOException garbage) {
            throw new UncheckedIOException(garbage);
        }
    }
}
