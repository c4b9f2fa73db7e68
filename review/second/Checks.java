package second;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Checks of rules, from what the workers ran. */
final class Checks {
    /** One run of a task as its worker saw it; its end is the end of the record if none was seen. */
    record Ran(String worker, String task, int run, long fromMillis, long toMillis) {}

    private Checks() {}

    /** Returns the runs of a job; those of a worker that was killed end when it was last seen or at its successor's start. */
    static List<Ran> runs(Deployment deployment, String job, Map<String, Long> killedAtMillis) {
        Map<String, Ran> open = new HashMap<>();
        List<Ran> runs = new ArrayList<>();
        for (String line : deployment.journals()) {
            String[] words = line.split(" ");
            long millis = Long.parseLong(words[0]);
            String key = words[1] + " " + words[3] + " " + words[4];
            if (words[2].equals("START") && words[3].startsWith(job)) {
                open.put(key, new Ran(words[1], words[3], Integer.parseInt(words[4]), millis, Long.MAX_VALUE));
            } else if (words[2].equals("END") && open.containsKey(key)) {
                Ran ran = open.remove(key);
                runs.add(new Ran(ran.worker, ran.task, ran.run, ran.fromMillis, millis));
            }
        }
        open.values().forEach(ran -> runs.add(new Ran(
                ran.worker, ran.task, ran.run, ran.fromMillis, killedAtMillis.getOrDefault(ran.worker, Long.MAX_VALUE))));
        return runs;
    }

    /** TWICE: returns whether no two runs of one task overlap on workers that are up. */
    static boolean noTaskRunsTwiceAtATime(Deployment deployment, String job, Map<String, Long> killedAtMillis) {
        List<Ran> runs = runs(deployment, job, killedAtMillis);
        boolean holds = true;
        for (Ran first : runs) {
            for (Ran second : runs) {
                boolean overlap = first != second
                        && first.task.equals(second.task)
                        && first.fromMillis <= second.fromMillis
                        && second.fromMillis < first.toMillis;
                if (overlap) {
                    deployment.note("TWICE " + first + " and " + second + ": both for "
                            + (Math.min(first.toMillis, second.toMillis) - second.fromMillis) + " ms");
                    holds = false;
                }
            }
        }
        return holds;
    }
}
