import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BooleanSupplier;

/**
 * The collector of one agent's log does not read for some time, so that the agent stands still within the line of a run that
 * has ended. Its tasks go to other workers. When the log is read again, the agent starts the task that was next.
 */
public final class StartAfterBlockedLog {
    private static final int ROUNDS = 4;
    /** No round begins later than this, so that the case ends in time. */
    private static final long LAST_ROUND_MILLIS = 80_000;
    private static final long MAX_FILL_MILLIS = 22_000;
    /** Bytes in the pipe from which only the longest kind of job is sent, so that a run of it is what ends last. */
    private static final int NEARLY_FULL_BYTES = 58_000;
    /** Time without a call to the worker after which the agent counts as blocked; it calls at least every 0.3 s. */
    private static final long QUIET_MILLIS = 700;
    /** Budget of 1,500 ms and 1,300 ms until the job is sent again, and some time for its second run to begin. */
    private static final long BLOCKED_MILLIS = 3_200;
    private static final long BUDGET_MILLIS = 1500;
    private static final long RESEND_MILLIS = 1300;

    private final ReviewDeployment deployment;
    private final AtomicBoolean traffic = new AtomicBoolean(true);
    private final AtomicBoolean usualJobs = new AtomicBoolean(true);
    private final AtomicBoolean longJobs = new AtomicBoolean();
    private final ExecutorService clients = Executors.newCachedThreadPool();

    private StartAfterBlockedLog(ReviewDeployment deployment) {
        this.deployment = deployment;
    }

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int result = 2;
        try (ReviewDeployment deployment = new ReviewDeployment(Path.of(arguments[0]))) {
            deployment.start(3, 7);
            result = new StartAfterBlockedLog(deployment).play(trouble);
        } catch (Exception failure) {
            failure.printStackTrace();
        }
        System.exit(result);
    }

    private int play(boolean trouble) throws Exception {
        // The kinds of jobs of the sheet, for seven workers, and the longest kind alone while the pipe takes its last lines.
        sendEvery(180, 8, 86, usualJobs::get);
        sendEvery(60, 2, 286, usualJobs::get);
        sendEvery(990, 4, 1286, usualJobs::get);
        sendEvery(195, 4, 1287, longJobs::get);
        TimeUnit.SECONDS.sleep(3);
        ReviewDeployment.Worker worker = deployment.workers.get(0);
        long startedNanos = System.nanoTime();
        for (int round = 0; round < ROUNDS; round++) {
            if (System.nanoTime() - startedNanos > (LAST_ROUND_MILLIS - MAX_FILL_MILLIS) * 1_000_000) {
                break;
            }
            blockOnce(worker, trouble);
            TimeUnit.SECONDS.sleep(2);
            if (!deployment.overlappingRuns().isEmpty()) {
                break;
            }
            usualJobs.set(true);
            TimeUnit.SECONDS.sleep(1);
        }
        traffic.set(false);
        TimeUnit.SECONDS.sleep(5);
        List<String> overlaps = deployment.overlappingRuns();
        overlaps.forEach(overlap -> deployment.record("TWICE: " + overlap));
        deployment.record("overlapping runs: " + overlaps.size());
        return overlaps.isEmpty() ? 0 : 1;
    }

    private void blockOnce(ReviewDeployment.Worker worker, boolean trouble) throws InterruptedException {
        long busyAt = System.currentTimeMillis();
        if (trouble) {
            worker.machine.collector.setBusy(true);
            deployment.record("the collector of the log of " + worker.machine.name + " does not read");
        }
        long quietSince = busyAt;
        while (System.currentTimeMillis() < busyAt + MAX_FILL_MILLIS
                && System.currentTimeMillis() < quietSince + QUIET_MILLIS) {
            TimeUnit.MILLISECONDS.sleep(20);
            if (worker.machine.collector.waiting() > NEARLY_FULL_BYTES) {
                usualJobs.set(false);
                longJobs.set(true);
            }
            quietSince = worker.proxy.lastRequestMillis();
        }
        // The callers pause, so that there is room for what is sent again.
        usualJobs.set(false);
        longJobs.set(false);
        deployment.record(worker.machine.name + " has called its worker last at " + quietSince);
        TimeUnit.MILLISECONDS.sleep(Math.max(0, quietSince + BLOCKED_MILLIS - System.currentTimeMillis()));
        worker.machine.collector.setBusy(false);
        deployment.record("the collector reads again after " + (System.currentTimeMillis() - busyAt) + " ms");
    }

    private void sendEvery(long pauseMillis, int tasks, long workMillis, BooleanSupplier wanted) {
        clients.execute(() -> {
            try {
                for (int job = 0; traffic.get(); job++) {
                    TimeUnit.MILLISECONDS.sleep(pauseMillis);
                    if (!wanted.getAsBoolean()) {
                        continue;
                    }
                    // One client of each zone sends at the same moment.
                    for (int first = 0; first < 3; first++) {
                        String id = String.format("%08x%07x%d", workMillis, job, first);
                        int entry = first;
                        clients.execute(() -> sendUntilDone(id, entry, tasks, workMillis));
                    }
                }
            } catch (InterruptedException ended) {
                Thread.currentThread().interrupt();
            }
        });
    }

    /** Sends the job again after no answer, a broken connection, 502 or 504, as the pages say. */
    private void sendUntilDone(String id, int first, int tasks, long workMillis) {
        try {
            for (int attempt = 0; attempt < 3; attempt++) {
                int status = deployment
                        .post(deployment.entries.get((first + attempt) % 3), id, tasks, workMillis, BUDGET_MILLIS)
                        .get();
                if (status != 0 && status != 502 && status != 504) {
                    return;
                }
                TimeUnit.MILLISECONDS.sleep(RESEND_MILLIS);
            }
        } catch (Exception failure) {
            deployment.record("client failed: " + failure);
        }
    }
}
