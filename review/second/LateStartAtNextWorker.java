package second;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A worker leaves one start unanswered, which is carried out some seconds later, and restarts meanwhile.
 *
 * <p>The agent repeats the start, the worker runs it, crashes, and comes back as another incarnation at the same address.
 * The task is started elsewhere. Then the first copy of the start arrives.
 */
final class LateStartAtNextWorker {
    /** The pages: carried out 2 to 12 s later. */
    private static final long LATE_MILLIS = 4_000;

    /** One of eight: the sheet has up to a share of 0.14 crash. */
    private static final int WORKERS = 8;

    private static final long TASK_MILLIS = 5_000;

    private static final String JOB = "5c0e7a21d94b36f8";

    private LateStartAtNextWorker() {}

    static boolean holds(Deployment deployment, boolean trouble) throws Exception {
        AtomicBoolean heldBack = new AtomicBoolean();
        AtomicInteger calls = new AtomicInteger();
        Map<String, WorkerPath> paths = new HashMap<>();
        Map<String, InetSocketAddress> behind = new HashMap<>();
        CompletableFuture<Deployment.Member> crashing = new CompletableFuture<>();
        Map<String, Long> killed = new HashMap<>();
        deployment.putConfig(1, 14_000, 6);
        for (int index = 1; index <= WORKERS; index++) {
            Deployment.Member agent = deployment.addAgent("side-" + index, "rvk-a");
            InetSocketAddress worker = new InetSocketAddress(agent.ip, Deployment.freePort(agent.ip));
            behind.put(agent.name, worker);
            WorkerPath path = new WorkerPath(
                    new InetSocketAddress(agent.ip, agent.workerPort), worker, request -> {
                        calls.incrementAndGet();
                        boolean first = trouble
                                && request.startsWith("POST /run-start")
                                && request.contains(JOB)
                                && heldBack.compareAndSet(false, true);
                        if (!first) {
                            return 0L;
                        }
                        deployment.note("HELD-BACK by " + LATE_MILLIS + " ms: "
                                + request.substring(request.indexOf("\r\n\r\n") + 4));
                        crashing.complete(agent);
                        return LATE_MILLIS;
                    });
            path.open();
            paths.put(agent.name, path);
            deployment.startWorker(agent, "i-" + agent.name + "-a", text(worker));
        }
        Deployment.Member entry = deployment.addEntry("edge-1", "rvk-a");
        deployment.await("the entry is ready", () -> deployment.isReady(entry));
        Thread.sleep(4_000);
        CompletableFuture<String> answer =
                deployment.call(entry, "POST", JOB, Deployment.job(1, 1_600, TASK_MILLIS, TASK_MILLIS), 14_000);
        if (trouble) {
            Deployment.Member agent = crashing.get(10, TimeUnit.SECONDS);
            Thread.sleep(900);
            deployment.note("KILL worker of " + agent.name);
            paths.get(agent.name).close();
            agent.worker.destroyForcibly().waitFor();
            killed.put("i-" + agent.name + "-a", System.currentTimeMillis());
            deployment.startWorker(agent, "i-" + agent.name + "-b", text(behind.get(agent.name)));
            deployment.await("the worker is back", () -> deployment.journals().stream()
                    .anyMatch(line -> line.contains("i-" + agent.name + "-b UP")));
            paths.get(agent.name).open();
        }
        answer.get(25, TimeUnit.SECONDS);
        Thread.sleep(2_500);
        deployment.note("CALLS to workers: " + calls + ", held back: " + (heldBack.get() ? 1 : 0));
        return Checks.noTaskRunsTwiceAtATime(deployment, JOB, killed);
    }

    private static String text(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }
}
