package second;

import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/** The operator drops the route of a running job, and the job's client cancels it. */
final class CancelAfterDroppedRoute {
    private static final String JOB = "9e44b0c7d1f2a380";
    private static final long CONFIG_APPLY_MILLIS = 2_000;
    private static final long ACKNOWLEDGE_MILLIS = 4_000;
    private static final long CANCEL_MILLIS = 3_000;
    private static final long STOP_MILLIS = 50;
    private static final long RETRY_MILLIS = 500;
    private static final long TASK_MILLIS = 4_000;
    private static final long DEADLINE_MILLIS = 30_000;

    private CancelAfterDroppedRoute() {}

    static boolean holds(Deployment deployment, boolean trouble) throws Exception {
        deployment.putConfig(1, (int) DEADLINE_MILLIS, 6, List.of(Deployment.PREFIX, "/other/"));
        for (int index = 1; index <= 2; index++) {
            Deployment.Member agent = deployment.addAgent("side-" + index, "rvk-a");
            deployment.startWorker(agent, "i-" + index, agent.workerAddress());
        }
        Deployment.Member entry = deployment.addEntry("edge-1", "rvk-a");
        Deployment.Member other = deployment.addEntry("edge-2", "rvk-a");
        deployment.await("the entries are ready", () -> deployment.isReady(entry) && deployment.isReady(other));
        Thread.sleep(4_000);
        // Two tasks fit at a time, so that the others wait for them.
        CompletableFuture<String> answer = deployment.call(
                entry, "POST", JOB, Deployment.job(10, 8_000, TASK_MILLIS, TASK_MILLIS), DEADLINE_MILLIS);
        Thread.sleep(500);
        if (trouble) {
            deployment.putConfig(5, (int) DEADLINE_MILLIS, 6, List.of("/other/"));
            deployment.note("ACKNOWLEDGED version 5, without the route of the job");
        }
        Thread.sleep(CONFIG_APPLY_MILLIS + 200);
        long sentMillis = System.currentTimeMillis();
        long limitMillis = sentMillis + ACKNOWLEDGE_MILLIS + CANCEL_MILLIS;
        while (!answer.isDone()) {
            String cancelled = deployment.call(entry, "DELETE", JOB, "", 4_000).get(5, TimeUnit.SECONDS);
            if (cancelled.startsWith("2") || cancelled.startsWith("410")) {
                limitMillis = Math.min(limitMillis, System.currentTimeMillis() + CANCEL_MILLIS);
                break;
            }
            Thread.sleep(RETRY_MILLIS);
        }
        answer.get(35, TimeUnit.SECONDS);
        Thread.sleep(1_000);
        boolean holds = true;
        for (Checks.Ran ran : Checks.runs(deployment, JOB, Map.of())) {
            boolean startedLate = ran.fromMillis() > limitMillis;
            if (startedLate || ran.toMillis() > limitMillis + STOP_MILLIS) {
                deployment.note("UNASKED " + ran + ": " + (startedLate ? "started " : "ran on, started ")
                        + (ran.fromMillis() - sentMillis) + " ms and ended " + (ran.toMillis() - sentMillis)
                        + " ms after the first DELETE");
                holds = false;
            }
        }
        return holds;
    }
}
