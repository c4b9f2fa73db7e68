package review;

import java.net.InetAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/** All processes are killed once while long tasks run, and start again before the leases of these tasks have ended. */
final class KilledProcesses {
    private static final long RECOVER_MILLIS = 12_000;
    private static final long RESTART_DELAY_MILLIS = 50;
    private static final long LONGEST_LEASE_MILLIS = 900;
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
        long startMillis = startDuration(system);
        system.record.add("the processes take " + startMillis + " ms to start again");

        CompletableFuture<Integer> running = system.submit(first, PREFIX, "5c0e7a21d94b36f8", 4, 9000, 20_000);
        TimeUnit.MILLISECONDS.sleep(500);
        if (trouble) {
            awaitReportAfterRestart(worker, RESTART_DELAY_MILLIS + startMillis);
            for (Deployment.Daemon daemon : system.daemons()) {
                system.signal(daemon, "KILL");
            }
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

    /** Waits until the worker has just renewed its lease, and its next report comes between its agent's return and the end of the lease. */
    private static void awaitReportAfterRestart(WorkerStandIn worker, long backAfterMillis) throws Exception {
        long reportAfterMillis = (backAfterMillis + LONGEST_LEASE_MILLIS) / 2;
        while (Math.abs(worker.untilNextReportMillis() - reportAfterMillis) > 30
                || worker.leaseLeftMillis() < LONGEST_LEASE_MILLIS - 40) {
            TimeUnit.MILLISECONDS.sleep(1);
        }
    }

    /** Kills all processes while no task runs, and returns how long they take to listen again. */
    private static long startDuration(Deployment system) throws Exception {
        for (Deployment.Daemon daemon : system.daemons()) {
            system.signal(daemon, "KILL");
        }
        TimeUnit.MILLISECONDS.sleep(RESTART_DELAY_MILLIS);
        long startNanos = System.nanoTime();
        for (Deployment.Daemon daemon : system.daemons()) {
            system.restart(daemon);
        }
        for (Deployment.Daemon daemon : system.daemons()) {
            awaitListening(daemon.port);
        }
        long millis = (System.nanoTime() - startNanos) / 1_000_000;
        system.awaitService(PREFIX, system.daemons().get(0), system.daemons().get(1));
        TimeUnit.MILLISECONDS.sleep(3000);
        return millis;
    }

    private static void awaitListening(int port) throws Exception {
        while (true) {
            try (Socket socket = new Socket(InetAddress.getByName("127.0.0.1"), port)) {
                return;
            } catch (java.net.ConnectException notYet) {
                TimeUnit.MILLISECONDS.sleep(2);
            }
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
