package review;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/** A job of one entry is cancelled at another one, which is frozen when the request arrives and answers when it wakes. */
final class CancelAtThawedEntry {
    private static final long FREEZE_MILLIS = 4000;
    private static final long CANCEL_MILLIS = 3000;
    private static final String PREFIX = "/jobs/";

    private CancelAtThawedEntry() {}

    public static void main(String[] arguments) {
        Script.run(arguments, CancelAtThawedEntry::play);
    }

    private static boolean play(Deployment system, boolean trouble) throws Exception {
        system.putRoutes(1, PREFIX);
        Deployment.Daemon owner = system.startEntry("entry-1", "sofia", system.store.port);
        Deployment.Daemon other = system.startEntry("entry-2", "burgas", system.store.port);
        system.startWorker("w-1", "sofia", 2500, system.store.port);
        system.awaitService(PREFIX, owner, other);
        TimeUnit.MILLISECONDS.sleep(4000);

        String job = "5c0e7a21d94b36f8";
        CompletableFuture<Integer> outcome = system.submit(owner, PREFIX, job, 16, 1500, 40_000);
        TimeUnit.MILLISECONDS.sleep(1000);
        if (trouble) {
            system.signal(other, "STOP");
        }
        TimeUnit.MILLISECONDS.sleep(FREEZE_MILLIS / 2);
        CompletableFuture<Integer> cancelled = system.cancel(other, PREFIX, job, 10_000);
        TimeUnit.MILLISECONDS.sleep(FREEZE_MILLIS / 2);
        if (trouble) {
            system.signal(other, "CONT");
        }
        int status = cancelled.get();
        double acknowledged = system.record.seconds();
        if (status != 200 && status != 410) {
            system.record.add("the cancelling was not acknowledged");
            return false;
        }
        TimeUnit.MILLISECONDS.sleep(2 * CANCEL_MILLIS);
        List<WorkerStandIn.Run> late = system.runsOf(job).stream()
                .filter(run -> run.startedSeconds > acknowledged + CANCEL_MILLIS / 1000.0)
                .toList();
        if (!late.isEmpty()) {
            system.record.add("UNASKED: " + late.size() + " tasks of the job start later than " + CANCEL_MILLIS
                    + " ms after its cancelling was acknowledged; the job "
                    + (outcome.isDone() ? "has ended" : "goes on"));
        }
        return !late.isEmpty();
    }
}
