package review;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/** A job is cancelled and its request is answered; a copy of that request arrives seconds after the answer. */
final class LateCopyAfterCancel {
    private static final long COPY_AFTER_MILLIS = 4000;
    private static final long CANCEL_MILLIS = 3000;
    private static final String PREFIX = "/jobs/";
    private static final int TASKS = 8;
    private static final long TASK_MILLIS = 1500;
    private static final long DEADLINE_MILLIS = 30_000;

    private LateCopyAfterCancel() {}

    public static void main(String[] arguments) {
        Script.run(arguments, LateCopyAfterCancel::play);
    }

    private static boolean play(Deployment system, boolean trouble) throws Exception {
        system.putRoutes(1, PREFIX);
        Deployment.Daemon first = system.startEntry("entry-1", "sofia", system.store.port);
        Deployment.Daemon second = system.startEntry("entry-2", "burgas", system.store.port);
        system.startWorker("w-1", "sofia", 2500, system.store.port);
        system.awaitService(PREFIX, first, second);
        TimeUnit.MILLISECONDS.sleep(4000);

        String job = "5c0e7a21d94b36f8";
        CompletableFuture<Integer> outcome = system.submit(first, PREFIX, job, TASKS, TASK_MILLIS, DEADLINE_MILLIS);
        TimeUnit.MILLISECONDS.sleep(1000);
        int cancelled = system.cancel(first, PREFIX, job, 4000).get();
        double acknowledged = system.record.seconds();
        if (cancelled != 200 || outcome.get() != 200) {
            throw new IllegalStateException("the job was not cancelled");
        }
        TimeUnit.MILLISECONDS.sleep(COPY_AFTER_MILLIS);
        if (trouble) {
            system.record.add("a copy of the request arrives");
            system.submit(second, PREFIX, job, TASKS, TASK_MILLIS, DEADLINE_MILLIS);
        }
        TimeUnit.MILLISECONDS.sleep(5000);
        List<WorkerStandIn.Run> late = system.runsOf(job).stream()
                .filter(run -> run.startedSeconds > acknowledged + CANCEL_MILLIS / 1000.0)
                .toList();
        if (!late.isEmpty()) {
            system.record.add("UNASKED: " + late.size() + " tasks of the job start later than " + CANCEL_MILLIS
                    + " ms after its cancelling was acknowledged");
        }
        return !late.isEmpty();
    }
}
