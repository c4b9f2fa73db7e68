package review;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/** All processes are killed once while long tasks run, and start again before the leases of these tasks have ended. */
final class KilledProcesses {
    private static final long RECOVER_MILLIS = 12_000;
    private static final long RESTART_DELAY_MILLIS = 50;
    private static final long RENEWED_LEASE_MILLIS = 860;
    private static final long REPORT_DUE_MILLIS = 450;
    private static final long TASK_MILLIS = 3600;
    private static final String PREFIX = "/jobs/";
    private static final int JOBS = 12;

    private KilledProcesses() {}

    public static void main(String[] arguments) {
        Script.run(arguments, KilledProcesses::play);
    }

    private static boolean play(Deployment system, boolean trouble) throws Exception {
        system.putRoutes(1, PREFIX);
        Deployment.Daemon first = system.startEntry("entry-1", "sofia", system.store.port);
        Deployment.Daemon second = system.startEntry("entry-2", "burgas", system.store.port);
        WorkerStandIn worker = system.startWorker("w-1", "sofia", 8000, system.store.port);
        system.awaitService(PREFIX, first, second);
        TimeUnit.MILLISECONDS.sleep(3000);
        int servedBefore = served(system, first, 0x100) + served(system, second, 0x200);

        CompletableFuture<Integer> running = system.submit(first, PREFIX, "5c0e7a21d94b36f8", 4, TASK_MILLIS, 20_000);
        TimeUnit.MILLISECONDS.sleep(500);
        if (trouble) {
            awaitMoment(worker);
            system.signal(system.daemons().get(2), "KILL");
            system.signal(first, "KILL");
            system.signal(second, "KILL");
            TimeUnit.MILLISECONDS.sleep(RESTART_DELAY_MILLIS);
            for (Deployment.Daemon daemon : system.daemons()) {
                system.restart(daemon);
            }
        }
        running.get();
        TimeUnit.MILLISECONDS.sleep(RECOVER_MILLIS + 3000);
        int servedAfter = served(system, first, 0x300) + served(system, second, 0x400);
        system.record.add("served before: " + servedBefore + " of " + 2 * JOBS + ", later than " + RECOVER_MILLIS
                + " ms after the start: " + servedAfter + " of " + 2 * JOBS);
        if (servedBefore < 2 * JOBS / 4) {
            throw new IllegalStateException("too little was served before the disruption");
        }
        return servedAfter < 2 * JOBS / 4;
    }

    /** Waits until the lease has been renewed and a report is due while the agent will be down, so that it comes again. */
    private static void awaitMoment(WorkerStandIn worker) throws Exception {
        while (worker.leaseLeftMillis() < RENEWED_LEASE_MILLIS || worker.untilNextReportMillis() > REPORT_DUE_MILLIS) {
            TimeUnit.MILLISECONDS.sleep(1);
        }
    }

    private static int served(Deployment system, Deployment.Daemon entry, long firstId) throws Exception {
        List<CompletableFuture<Integer>> outcomes = new ArrayList<>();
        for (int job = 0; job < JOBS; job++) {
            outcomes.add(system.submit(entry, PREFIX, String.format("%016x", firstId + job), 1, 100, 3000));
            TimeUnit.MILLISECONDS.sleep(200);
        }
        int served = 0;
        for (CompletableFuture<Integer> outcome : outcomes) {
            served += outcome.get() == 200 ? 1 : 0;
        }
        return served;
    }
}
