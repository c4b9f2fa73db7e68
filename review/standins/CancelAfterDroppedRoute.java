package review;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/** The route of a running job is dropped by a new desired state, and the job is cancelled after that. */
final class CancelAfterDroppedRoute {
    private static final long CONFIG_APPLY_MILLIS = 2000;
    private static final long ACK_MILLIS = 4000;
    private static final long CANCEL_MILLIS = 3000;
    private static final String KEPT = "/kept/";
    private static final String DROPPED = "/dropped/";

    private CancelAfterDroppedRoute() {}

    public static void main(String[] arguments) {
        Script.run(arguments, CancelAfterDroppedRoute::play);
    }

    private static boolean play(Deployment system, boolean trouble) throws Exception {
        system.putRoutes(1, KEPT, DROPPED);
        Deployment.Daemon first = system.startEntry("entry-1", "sofia", system.store.port);
        Deployment.Daemon second = system.startEntry("entry-2", "burgas", system.store.port);
        system.startWorker("w-1", "sofia", 2500, system.store.port);
        system.awaitService(KEPT, first, second);
        TimeUnit.MILLISECONDS.sleep(4000);

        String job = "5c0e7a21d94b36f8";
        CompletableFuture<Integer> outcome = system.submit(first, DROPPED, job, 24, 1500, 40_000);
        TimeUnit.MILLISECONDS.sleep(1000);
        if (trouble) {
            system.putRoutes(4, KEPT);
        }
        TimeUnit.MILLISECONDS.sleep(CONFIG_APPLY_MILLIS);

        double firstSent = system.record.seconds();
        double stopBy = Double.NaN;
        while (Double.isNaN(stopBy)) {
            int status = system.cancel(first, DROPPED, job, 2000).get();
            if (status == 200 || status == 410) {
                stopBy = system.record.seconds() + CANCEL_MILLIS / 1000.0;
            } else if (system.record.seconds() > firstSent + ACK_MILLIS / 1000.0) {
                system.record.add("the cancelling has waited " + ACK_MILLIS + " ms for its acknowledgement");
                stopBy = firstSent + (ACK_MILLIS + CANCEL_MILLIS) / 1000.0;
            }
            TimeUnit.MILLISECONDS.sleep(500);
        }
        while (system.record.seconds() < stopBy + 3) {
            TimeUnit.MILLISECONDS.sleep(100);
        }
        double limit = stopBy;
        List<WorkerStandIn.Run> late = system.runsOf(job).stream()
                .filter(run -> run.startedSeconds > limit)
                .toList();
        if (!late.isEmpty()) {
            system.record.add("UNASKED: " + late.size() + " tasks of the job start later than " + CANCEL_MILLIS
                    + " ms after that; the job " + (outcome.isDone() ? "has ended" : "goes on"));
        }
        return !late.isEmpty();
    }
}
