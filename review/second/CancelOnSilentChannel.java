package second;

import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/**
 * The channel between two entries goes silent, and a job that one of them runs is cancelled at the other a moment later.
 */
final class CancelOnSilentChannel {
    private static final String JOB = "7b1d03e9aa54c2f1";
    private static final long CANCEL_MILLIS = 3_000;
    private static final long STOP_MILLIS = 50;
    private static final long CONTACT_MILLIS = 3_000;
    private static final long TASK_MILLIS = 5_000;
    private static final long DEADLINE_MILLIS = 25_000;

    private CancelOnSilentChannel() {}

    static boolean holds(Deployment deployment, boolean trouble) throws Exception {
        deployment.putConfig(1, (int) DEADLINE_MILLIS, 6);
        for (int index = 1; index <= 2; index++) {
            Deployment.Member agent = deployment.addAgent("side-" + index, "rvk-a");
            deployment.startWorker(agent, "i-" + index, agent.workerAddress());
        }
        Deployment.Member second = deployment.prepareEntry("edge-2", "rvk-a");
        try (MemberPath path = new MemberPath(
                second.ip,
                new InetSocketAddress(second.ip, Integer.parseInt(second.fields.get("internalPorts.0"))))) {
            deployment.reachThrough(second, path.port());
            deployment.start(second);
            Deployment.Member first = deployment.addEntry("edge-1", "rvk-a");
            deployment.await("the entries are ready", () -> deployment.isReady(first) && deployment.isReady(second));
            Thread.sleep(4_000);
            // Four tasks fit at a time, so that the last two wait for the first ones.
            CompletableFuture<String> answer = deployment.call(
                    first, "POST", JOB, Deployment.job(6, 8_000, TASK_MILLIS, TASK_MILLIS), DEADLINE_MILLIS);
            Thread.sleep(1_000);
            long silentMillis = System.currentTimeMillis();
            if (trouble) {
                deployment.note("SILENT " + path.silenceOpenChannels() + " channel between edge-1 and edge-2");
            }
            Thread.sleep(200);
            String cancelled = deployment.call(second, "DELETE", JOB, "", 4_000).get(5, TimeUnit.SECONDS);
            long acknowledgedMillis = System.currentTimeMillis();
            if (!cancelled.startsWith("2") && !cancelled.startsWith("410")) {
                throw new IllegalStateException("the cancelling was not acknowledged");
            }
            answer.get(30, TimeUnit.SECONDS);
            Thread.sleep(1_000);
            boolean holds = true;
            long limitMillis = acknowledgedMillis + CANCEL_MILLIS;
            for (Checks.Ran ran : Checks.runs(deployment, JOB, Map.of())) {
                boolean startedLate = ran.fromMillis() > limitMillis && ran.fromMillis() > silentMillis + CONTACT_MILLIS;
                boolean runsOn = ran.toMillis() > limitMillis + STOP_MILLIS;
                if (startedLate || runsOn) {
                    deployment.note("UNASKED " + ran + ": started " + (ran.fromMillis() - acknowledgedMillis)
                            + " ms and ended " + (ran.toMillis() - acknowledgedMillis)
                            + " ms after the cancelling was acknowledged");
                    holds = false;
                }
            }
            return holds;
        }
    }
}
