package org.gypsumflow.standin;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import org.gypsumflow.http.HttpClient;
import org.gypsumflow.http.HttpClient.ClientResponse;

/**
 * A cluster on the loopback address: one real entry and one real agent, with stand-ins for the store and the worker.
 */
public final class LoopbackCluster implements AutoCloseable {
    /** Service of the cluster's worker. */
    public static final String SERVICE = "dispatch";
    /** Availability zone of the entry, the agent and the worker. */
    public static final String ZONE = "sofia";

    /** Address of the store for the entry; the agent uses another one. */
    public static final String STORE_OF_ENTRY = "127.0.0.2";

    private static final String HOST = "127.0.0.1";
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(10);
    /**
     * A running daemon.
     *
     * @param port TCP port on which it serves HTTP
     * @param stop stops it
     */
    public record RunningDaemon(int port, Runnable stop) {}

    private final StoreStandIn store;
    private final WorkerStandIn worker;
    private final HttpClient httpClient = HttpClient.create();
    private final RunningDaemon agent;
    private final RunningDaemon entry;

    private LoopbackCluster(Duration runDuration, Function<String, RunningDaemon> starter) {
        this.store = StoreStandIn.start(HOST, 0);
        store.listenAlsoOn(STORE_OF_ENTRY);
        this.worker = WorkerStandIn.start(HOST, runDuration);
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
                "store-address = \"" + STORE_OF_ENTRY + ":" + store.port() + "\"",
                "callers-address = \"" + HOST + ":0\"",
                "readiness-address = \"" + HOST + ":0\""));
    }

    /**
     * Starts the cluster; the worker has not reported to its agent yet, and the store contains no routes.
     *
     * @param runDuration how long each task runs
     * @param starter starts a daemon with settings in TOML
     * @return the running cluster
     */
    public static LoopbackCluster start(Duration runDuration, Function<String, RunningDaemon> starter) {
        return new LoopbackCluster(runDuration, starter);
    }

    /**
     * Returns the stand-in for the store.
     *
     * @return the running store
     */
    public StoreStandIn store() {
        return store;
    }

    /**
     * Returns the stand-in for the worker.
     *
     * @return the running worker
     */
    public WorkerStandIn worker() {
        return worker;
    }

    /**
     * Writes a routing table to the store, with one route for the paths under {@code /jobs/}.
     *
     * @param version version of the routing table
     */
    public void putRoutes(int version) {
        String routes = "\"routes\":[{\"name\":\"r\",\"host\":\"\",\"pathPrefix\":\"/jobs/\",\"service\":\"dispatch\","
                + "\"maxAttempts\":2,\"stretch\":20,\"targetLatencyMs\":2000}]";
        String services = "\"services\":[{\"name\":\"dispatch\",\"enforcesCapacity\":true}]";
        store.put("keyed.op", "config", "{\"version\":" + version + "," + routes + "," + services + "}");
    }

    /**
     * Sends a report of the worker to its agent.
     *
     * @param state "ready" or "draining"
     * @return completes with the HTTP status of the response
     */
    public CompletableFuture<Integer> reportWorker(String state) {
        return worker.report("http://" + HOST + ":" + agent.port(), SERVICE, ZONE, state);
    }

    /**
     * Requests the readiness check of the entry.
     *
     * @return the response: status 200 if the entry is ready, else 503
     */
    public CompletableFuture<ClientResponse> getReadiness() {
        return httpClient.get(url("/readyz"), Map.of(), CALL_TIMEOUT);
    }

    /**
     * Submits a best-effort job to the entry.
     *
     * @param id id of the job, 16 hexadecimal digits
     * @param taskCount number of tasks
     * @return the response when the job has ended
     */
    public CompletableFuture<ClientResponse> submitJob(String id, int taskCount) {
        String body = "{\"spec\":\"x\",\"bestEffort\":true,\"steps\":[{\"count\":" + taskCount
                + ",\"cpu\":1000,\"memMb\":10,\"estimateMs\":50}]}";
        return httpClient.post(
                url("/jobs/" + id),
                Map.of("Content-Type", "application/json", "Deadline-Ms", "8000"),
                body.getBytes(StandardCharsets.UTF_8),
                CALL_TIMEOUT);
    }

    /**
     * Sends a GET request to the entry.
     *
     * @param path path of the request, with its leading slash
     * @return the response
     */
    public CompletableFuture<ClientResponse> get(String path) {
        return httpClient.get(url(path), Map.of(), CALL_TIMEOUT);
    }

    @Override
    public void close() {
        List.of(entry, agent).forEach(daemon -> daemon.stop().run());
        httpClient.close();
        worker.close();
        store.close();
    }

    private String url(String path) {
        return "http://" + HOST + ":" + entry.port() + path;
    }
}
