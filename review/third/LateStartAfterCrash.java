import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;

/**
 * One start gets no answer and is carried out seconds later. Its second copy is answered, and the task runs. The worker
 * crashes and starts again before the first copy is carried out.
 */
public final class LateStartAfterCrash {
    private static final String VICTIM = "5c0e7a21d94b36f8";
    /** Late orders are carried out 2 to 12 s later. */
    private static final long LEAST_DELAY_MILLIS = 2000;

    private static final long BUDGET_MILLIS = 1500;
    private static final long RESEND_MILLIS = 1300;
    private static final long WORK_MILLIS = 1286;

    private record Held(ReviewDeployment.Worker worker, byte[] request, long atMillis) {}

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
        AtomicReference<Held> held = new AtomicReference<>();
        BlockingQueue<ReviewDeployment.WorkerEvent> starts = new LinkedBlockingQueue<>();
        deployment.listeners.add(event -> {
            if (event.what().startsWith("start " + VICTIM)) {
                starts.add(event);
            }
        });
        for (ReviewDeployment.Worker worker : deployment.workers) {
            worker.proxy.keep(request -> {
                String text = new String(request, StandardCharsets.UTF_8);
                return trouble
                        && text.startsWith("POST /run-start ")
                        && text.contains(VICTIM)
                        && held.compareAndSet(null, new Held(worker, request, System.currentTimeMillis()));
            });
        }
        // Usual traffic, of whose orders the one without an answer is a small share.
        List<CompletableFuture<Integer>> usual = new ArrayList<>();
        for (int job = 0; job < 60; job++) {
            String id = String.format("%016x", 0x1000 + job);
            usual.add(deployment.post(deployment.entries.get(job % 3), id, 2, 200, BUDGET_MILLIS));
            TimeUnit.MILLISECONDS.sleep(50);
        }
        CompletableFuture<Boolean> client =
                CompletableFuture.supplyAsync(() -> sendUntilDone(deployment));
        starts.poll(10, TimeUnit.SECONDS);
        if (trouble) {
            Held order = held.get();
            TimeUnit.MILLISECONDS.sleep(300);
            order.worker().crash();
            // A run that begins after the client has sent the job again lasts long enough for the order to meet it.
            ReviewDeployment.WorkerEvent next = null;
            while (next == null || next.atMillis() < order.atMillis() + LEAST_DELAY_MILLIS - WORK_MILLIS / 2) {
                next = starts.poll(10, TimeUnit.SECONDS);
            }
            order.worker().start();
            TimeUnit.MILLISECONDS.sleep(
                    Math.max(0, order.atMillis() + LEAST_DELAY_MILLIS - System.currentTimeMillis()));
            deployment.record("the order is carried out now at " + order.worker().machine.name + ", "
                    + (System.currentTimeMillis() - order.atMillis()) + " ms after it was sent");
            deployment.record("its answer, which nobody gets: " + order.worker().proxy.deliver(order.request()));
        }
        boolean done = client.get(20, TimeUnit.SECONDS);
        TimeUnit.SECONDS.sleep(2);
        List<String> overlaps = deployment.overlappingRuns();
        overlaps.forEach(overlap -> deployment.record("TWICE: " + overlap));
        deployment.record("the job was " + (done ? "done" : "not done") + "; overlapping runs: " + overlaps.size());
        return overlaps.isEmpty() ? 0 : 1;
    }

    /** Sends the job again after no answer, a broken connection, 502 or 504, as the pages say; 503 ends it. */
    private static boolean sendUntilDone(ReviewDeployment deployment) {
        try {
            for (int attempt = 0; attempt < 5; attempt++) {
                int status = deployment
                        .post(deployment.entries.get(attempt % 3), VICTIM, 1, WORK_MILLIS, BUDGET_MILLIS)
                        .get();
                if (status == 200) {
                    return true;
                }
                if (status != 0 && status != 502 && status != 504) {
                    return false;
                }
                TimeUnit.MILLISECONDS.sleep(RESEND_MILLIS);
            }
        } catch (Exception failure) {
            deployment.record("client failed: " + failure);
        }
        return false;
    }
}
