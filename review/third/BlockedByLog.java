import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;

/** The collector of one entry's log does not read for some time. A route is added meanwhile. */
public final class BlockedByLog {
    private static final long CONFIG_APPLY_MILLIS = 2000;
    /** Longest time in which the usual traffic of the entry has to fill the pipe of its log. */
    private static final long MAX_FILL_MILLIS = 30_000;
    /** Time without a new line after which the pipe counts as full; the entry ends some tens of jobs a second. */
    private static final long QUIET_MILLIS = 1500;

    private static final String ADDED_PREFIX = "/added/";

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int result = 2;
        try (ReviewDeployment deployment = new ReviewDeployment(Path.of(arguments[0]))) {
            deployment.start(3, 7);
            result = play(deployment, trouble);
        } catch (Exception failure) {
            failure.printStackTrace();
        }
        System.exit(result);
    }

    private static int play(ReviewDeployment deployment, boolean trouble) throws Exception {
        AtomicBoolean traffic = new AtomicBoolean(true);
        List<CompletableFuture<Integer>> ofFirstEntry = new ArrayList<>();
        Thread clients = new Thread(() -> send(deployment, traffic, ofFirstEntry));
        clients.start();
        TimeUnit.SECONDS.sleep(3);
        ReviewDeployment.Machine first = deployment.entries.get(0);
        long busyAt = System.currentTimeMillis();
        if (trouble) {
            first.collector.setBusy(true);
            deployment.record("the collector of the log of " + first.name + " does not read");
        }
        awaitFullPipe(first.collector, trouble);
        deployment.putRoutes(11, ADDED_PREFIX);
        long acknowledgedAt = System.currentTimeMillis();
        deployment.record("version 11, which adds " + ADDED_PREFIX + ", is acknowledged");
        TimeUnit.MILLISECONDS.sleep(CONFIG_APPLY_MILLIS + 500);
        int notFound = 0;
        for (int time = 0; time < 10; time++) {
            for (ReviewDeployment.Machine entry : deployment.entries) {
                long sentAt = System.currentTimeMillis();
                int status = deployment.get(entry, ADDED_PREFIX).get();
                if (status == 404) {
                    notFound++;
                    deployment.record("CONFIG: " + entry.name + " answers 404 for the added route, "
                            + (sentAt - acknowledgedAt) + " ms after the acknowledgement");
                }
            }
            TimeUnit.MILLISECONDS.sleep(500);
        }
        first.collector.setBusy(false);
        deployment.record("the collector reads again after " + (System.currentTimeMillis() - busyAt) + " ms");
        TimeUnit.SECONDS.sleep(3);
        traffic.set(false);
        clients.join();
        int unanswered = 0;
        for (CompletableFuture<Integer> answer : ofFirstEntry) {
            unanswered += answer.get(5, TimeUnit.SECONDS) == 0 ? 1 : 0;
        }
        deployment.record("jobs at " + first.name + " without an answer: " + unanswered + " of " + ofFirstEntry.size());
        deployment.record("requests for the added route answered with 404, later than " + CONFIG_APPLY_MILLIS
                + " ms after the acknowledgement: " + notFound);
        return notFound == 0 ? 0 : 1;
    }

    private static void awaitFullPipe(LogCollector collector, boolean trouble) throws InterruptedException {
        long startedAt = System.currentTimeMillis();
        long changedAt = startedAt;
        int waiting = 0;
        boolean full = false;
        while (!full && System.currentTimeMillis() < startedAt + MAX_FILL_MILLIS) {
            TimeUnit.MILLISECONDS.sleep(50);
            if (collector.waiting() != waiting) {
                waiting = collector.waiting();
                changedAt = System.currentTimeMillis();
            }
            full = System.currentTimeMillis() > changedAt + QUIET_MILLIS;
            if (!trouble) {
                full = System.currentTimeMillis() > startedAt + MAX_FILL_MILLIS / 2;
            }
        }
    }

    private static void send(
            ReviewDeployment deployment, AtomicBoolean traffic, List<CompletableFuture<Integer>> ofFirstEntry) {
        try {
            for (int job = 0; traffic.get(); job++) {
                CompletableFuture<Integer> answer = deployment.post(
                        deployment.entries.get(job % 3), String.format("%016x", 0x1000 + job), 1, 50, 1500);
                if (job % 3 == 0) {
                    ofFirstEntry.add(answer);
                }
                TimeUnit.MILLISECONDS.sleep(9);
            }
        } catch (Exception failure) {
            deployment.record("client failed: " + failure);
        }
    }
}
