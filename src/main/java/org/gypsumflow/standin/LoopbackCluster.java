package org.gypsumflow.standin;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import org.gypsumflow.http.HttpClient;
import org.gypsumflow.http.HttpClient.ClientResponse;

/** One entry and one agent of the real daemons with the stand-ins that they need, on loopback. */
public final class LoopbackCluster implements AutoCloseable {
    /** Service that the site's worker belongs to. */
    public static final String SERVICE = "dispatch";
    /** Zone of the site. */
    public static final String ZONE = "sofia";

    private static final String HOST = "127.0.0.1";
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(10);
    /**
     * A running daemon.
     *
     * @param port port on which it serves HTTP
     * @param stop ends it
     */
    public record RunningDaemon(int port, Runnable stop) {}

    private final StoreStandIn store;
    private final WorkerStandIn worker;
    private final HttpClient caller = HttpClient.create();
    private final RunningDaemon agent;
    private final RunningDaemon entry;

    private LoopbackCluster(Duration runTime, Function<String, RunningDaemon> starter) {
        this.store = StoreStandIn.start(HOST, 0);
        this.worker = WorkerStandIn.start(HOST, runTime);
        this.agent = starter.apply(String.join(
                "\n",
                "role = \"agent\"",
                "name = \"agent-1\"",
                "zone = \"" + ZONE + "\"",
                "host = \"" + HOST + "\"",
                "[dispatch]",
                "store-address = \"" + HOST + ":" + store.port() + "\"",
                "reports-address = \"" + HOST + ":0\"",
                "worker-address = \"" + HOST + ":" + worker.port() + "\""));
        this.entry = starter.apply(String.join(
                "\n",
                "role = \"entry\"",
                "name = \"entry-1\"",
                "zone = \"" + ZONE + "\"",
                "host = \"" + HOST + "\"",
                "[dispatch]",
                "store-address = \"" + HOST + ":" + store.port() + "\"",
                "callers-address = \"" + HOST + ":0\"",
                "readiness-address = \"" + HOST + ":0\""));
    }

    /**
     * Starts the site; the worker has not reported itself yet and no routes are known.
     *
     * @param runTime how long a task runs
     * @param starter starts a daemon from its settings
     * @return the site
     */
    public static LoopbackCluster start(Duration runTime, Function<String, RunningDaemon> starter) {
        return new LoopbackCluster(runTime, starter);
    }

    /**
     * Returns the stand-in for the store.
     *
     * @return the store
     */
    public StoreStandIn store() {
        return store;
    }

    /**
     * Returns the stand-in for the worker.
     *
     * @return the worker
     */
    public WorkerStandIn worker() {
        return worker;
    }

    /**
     * Writes the routes.
     *
     * @param version their version
     */
    public void putRoutes(int version) {
        String routes = "\"routes\":[{\"name\":\"r\",\"host\":\"\",\"pathPrefix\":\"/jobs/\",\"service\":\"dispatch\","
                + "\"maxAttempts\":2,\"stretch\":20,\"targetLatencyMs\":2000}]";
        String services = "\"services\":[{\"name\":\"dispatch\",\"enforcesCapacity\":true}]";
        store.put("keyed.op", "config", "{\"version\":" + version + "," + routes + "," + services + "}");
    }

    /**
     * Reports the worker to its agent.
     *
     * @param state "ready" or "draining"
     * @return completes with the status of the answer
     */
    public CompletableFuture<Integer> reportWorker(String state) {
        return worker.report("http://" + HOST + ":" + agent.port(), SERVICE, ZONE, state);
    }

    /**
     * Asks whether the entry is ready.
     *
     * @return the answer
     */
    public CompletableFuture<ClientResponse> getReadiness() {
        return caller.get(url("/readyz"), Map.of(), CALL_TIMEOUT);
    }

    /**
     * Sends a job.
     *
     * @param id the job, sixteen hexadecimal digits
     * @param count number of tasks
     * @return the answer
     */
    public CompletableFuture<ClientResponse> submitJob(String id, int count) {
        String body = "{\"spec\":\"x\",\"bestEffort\":true,\"steps\":[{\"count\":" + count
                + ",\"cpu\":1000,\"memMb\":10,\"estimateMs\":50}]}";
        return caller.post(
                url("/jobs/" + id),
                Map.of("Content-Type", "application/json", "Deadline-Ms", "8000"),
                body.getBytes(StandardCharsets.UTF_8),
                CALL_TIMEOUT);
    }

    /**
     * Reads from the entry.
     *
     * @param path path of the request
     * @return the answer
     */
    public CompletableFuture<ClientResponse> get(String path) {
        return caller.get(url(path), Map.of(), CALL_TIMEOUT);
    }

    @Override
    public void close() {
        List.of(entry, agent).forEach(daemon -> daemon.stop().run());
        caller.close();
        worker.close();
        store.close();
    }

    private String url(String path) {
        return "http://" + HOST + ":" + entry.port() + path;
    }
}
