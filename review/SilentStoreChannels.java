package review;

import java.util.concurrent.TimeUnit;

/** The entries' open channels to the store go silent; a route is dropped and a zone is evacuated after that. */
final class SilentStoreChannels {
    private static final long CONTACT_MILLIS = 3000;
    private static final long CONFIG_APPLY_MILLIS = 2000;
    private static final long EVACUATE_MILLIS = 5000;
    private static final long MARGIN_MILLIS = 1000;
    private static final String KEPT = "/kept/";
    private static final String DROPPED = "/dropped/";

    private SilentStoreChannels() {}

    public static void main(String[] arguments) {
        Script.run(arguments, SilentStoreChannels::play);
    }

    private static boolean play(Deployment system, boolean trouble) throws Exception {
        Proxy storeLinks = new Proxy(system.store.port);
        system.putRoutes(1, KEPT, DROPPED);
        Deployment.Daemon first = system.startEntry("entry-1", "sofia", storeLinks.port());
        Deployment.Daemon second = system.startEntry("entry-2", "burgas", storeLinks.port());
        system.startWorker("w-1", "sofia", 8000, system.store.port);
        WorkerStandIn evacuated = system.startWorker("w-2", "burgas", 8000, system.store.port);
        system.awaitService(KEPT, first, second);
        TimeUnit.MILLISECONDS.sleep(3000);
        system.putRoutes(3, KEPT, DROPPED);
        TimeUnit.MILLISECONDS.sleep(500);

        if (trouble) {
            system.record.add("the " + storeLinks.openLinks() + " open channels to the store go silent; new ones work");
            storeLinks.silenceOpenLinks();
        }
        TimeUnit.MILLISECONDS.sleep(CONTACT_MILLIS + MARGIN_MILLIS);
        system.putRoutes(7, KEPT);
        double evacuatedAt = system.record.seconds();
        system.store.put("evacuate/burgas", "{}");
        system.record.add("operator: the evacuation of burgas is acknowledged");

        TimeUnit.MILLISECONDS.sleep(CONFIG_APPLY_MILLIS + MARGIN_MILLIS);
        boolean broken = false;
        for (Deployment.Daemon entry : new Deployment.Daemon[] {first, second}) {
            String job = String.format("%016x", 0xd0L + entry.port);
            int status = system.submit(entry, DROPPED, job, 1, 100, 3000).get();
            if (status != 404) {
                broken = true;
                system.record.add("CONFIG: " + entry.name + " runs a job of the dropped route, " + system.runsOf(job).size()
                        + " starts");
            }
        }
        TimeUnit.MILLISECONDS.sleep(EVACUATE_MILLIS - CONFIG_APPLY_MILLIS);
        for (Deployment.Daemon entry : new Deployment.Daemon[] {first, second}) {
            system.submit(entry, KEPT, String.format("%016x", 0xe0L + entry.port), 12, 100, 5000).get();
        }
        double limit = evacuatedAt + EVACUATE_MILLIS / 1000.0;
        long starts;
        synchronized (system.runs) {
            starts = system.runs.stream()
                    .filter(run -> run.worker.equals(evacuated.id) && run.startedSeconds > limit)
                    .count();
        }
        if (starts > 0) {
            broken = true;
            system.record.add("EVAC: " + starts + " starts in burgas later than " + EVACUATE_MILLIS
                    + " ms after its evacuation was acknowledged");
        }
        return broken;
    }
}
