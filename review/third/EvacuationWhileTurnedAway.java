import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * The store answers the operator and the agents' machines, and turns the machines of the entries away. A zone is evacuated
 * meanwhile.
 */
public final class EvacuationWhileTurnedAway {
    private static final String ZONE = "z1";
    private static final long EVACUATE_MILLIS = 5000;
    private static final long TURNED_AWAY_MILLIS = 9000;

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
        Thread clients = new Thread(() -> send(deployment, traffic));
        clients.start();
        TimeUnit.SECONDS.sleep(3);
        setTurnedAway(deployment, trouble);
        long turnedAwayAt = System.currentTimeMillis();
        TimeUnit.MILLISECONDS.sleep(100);
        deployment.store.put("keyed.op", "evacuate/" + ZONE, "{}");
        long acknowledgedAt = System.currentTimeMillis();
        deployment.record("the evacuation of " + ZONE + " is acknowledged");
        TimeUnit.MILLISECONDS.sleep(turnedAwayAt + TURNED_AWAY_MILLIS - System.currentTimeMillis());
        setTurnedAway(deployment, false);
        TimeUnit.SECONDS.sleep(3);
        traffic.set(false);
        clients.join();
        TimeUnit.SECONDS.sleep(2);
        List<ReviewDeployment.WorkerEvent> late = deployment.events.stream()
                .filter(event -> event.worker().contains("-" + ZONE + "-")
                        && event.what().startsWith("start ")
                        && event.atMillis() > acknowledgedAt + EVACUATE_MILLIS)
                .toList();
        late.forEach(start -> deployment.record("EVAC: " + start.what() + " at " + start.worker() + ", "
                + (start.atMillis() - acknowledgedAt) + " ms after the acknowledgement"));
        deployment.record("starts in " + ZONE + " later than " + EVACUATE_MILLIS + " ms after it: " + late.size());
        return late.isEmpty() ? 0 : 1;
    }

    private static void setTurnedAway(ReviewDeployment deployment, boolean turnedAway) {
        for (ReviewDeployment.Machine entry : deployment.entries) {
            deployment.storeLinks.get(entry.name).setCut(turnedAway);
            deployment.record(entry.name + (turnedAway ? " gets no answer from the store" : " is served by the store"));
        }
    }

    private static void send(ReviewDeployment deployment, AtomicBoolean traffic) {
        try {
            for (int job = 0; traffic.get(); job++) {
                deployment.post(deployment.entries.get(job % 3), String.format("%016x", 0x1000 + job), 2, 200, 1500);
                TimeUnit.MILLISECONDS.sleep(50);
            }
        } catch (Exception failure) {
            deployment.record("client failed: " + failure);
        }
    }
}
